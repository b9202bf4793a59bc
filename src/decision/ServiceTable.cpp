#include "decision/ServiceTable.h"

namespace lacewing {

ServiceTable::ServiceTable(const EngineOptions& aOptions)
  : options_(aOptions)
{
}

ServiceState* ServiceTable::Find(const ServiceId& aService)
{
  const auto found = services_.find(aService);
  if (found == services_.end() || found->second->Route() == nullptr) {
    return nullptr;
  }
  return found->second.get();
}

void ServiceTable::SetSnapshot(std::shared_ptr<const RoutingSnapshot> aSnapshot)
{
  snapshot_ = std::move(aSnapshot);
  for (const auto& [id, route] : snapshot_->services) {
    auto& service = services_[id];
    if (!service) {
      service = std::make_unique<ServiceState>(
        id,
        MakeRoutingStrategy(options_.strategy).value(),
        options_.retryBudget);
    }
    if (service->Route() != route.get()) {
      Update(*service, route);
    }
  }
  for (auto& [id, service] : services_) {
    if (service->Route() != nullptr && snapshot_->services.count(id) == 0) {
      Update(*service, nullptr);
    }
  }
}

std::vector<ServiceState*> ServiceTable::SetGrants(
  const std::vector<HeldGrant>& aGrants)
{
  std::map<ServiceId, ServiceState*> changed;
  const auto set = [&](const TargetId& aTarget,
                       const std::optional<HeldGrant>& aGrant) {
    const auto place = places_.find(aTarget);
    if (place != places_.end()) {
      place->second.target->SetGrant(aGrant);
      changed.emplace(place->second.service->Id(), place->second.service);
    }
  };
  for (const auto& grant : grants_) {
    set(grant.first, std::nullopt);
  }
  grants_.clear();
  for (const HeldGrant& grant : aGrants) {
    grants_[grant.target] = grant;
    set(grant.target, grant);
  }
  std::vector<ServiceState*> services;
  for (const auto& entry : changed) {
    services.push_back(entry.second);
  }
  return services;
}

void ServiceTable::RemoveUnused()
{
  for (auto it = services_.begin(); it != services_.end();) {
    const bool unused = it->second->Route() == nullptr && it->second->open == 0;
    it = unused ? services_.erase(it) : std::next(it);
  }
}

void ServiceTable::Update(ServiceState& aService,
                          const std::shared_ptr<const ServiceRoute>& aRoute)
{
  for (const auto& target : aService.Targets()) {
    const auto place = places_.find(target->Route().id);
    // The target may have moved to a service that was updated before.
    if (place != places_.end() && place->second.service == &aService) {
      places_.erase(place);
    }
  }
  aService.Update(aRoute, snapshot_->ownZone);
  for (const auto& target : aService.Targets()) {
    const TargetId& id = target->Route().id;
    places_[id] = Place{ &aService, target };
    const auto grant = grants_.find(id);
    target->SetGrant(grant == grants_.end()
                       ? std::nullopt
                       : std::optional<HeldGrant>(grant->second));
  }
}

} // namespace lacewing
