#include "decision/ServiceState.h"

#include <algorithm>

namespace lacewing {

void ServiceState::Update(std::shared_ptr<const ServiceRoute> aRoute,
                          const Grants& aGrants)
{
  std::map<TargetId, std::shared_ptr<TargetView>> known;
  for (const auto& target : targets_) {
    known.emplace(target->Route().id, target);
  }
  targets_.clear();
  route_ = std::move(aRoute);
  if (!route_) {
    return;
  }
  for (const TargetRoute& route : route_->targets) {
    const auto found = known.find(route.id);
    if (found == known.end()) {
      targets_.push_back(std::make_shared<TargetView>(route));
    } else {
      found->second->Update(route);
      targets_.push_back(found->second);
    }
  }
  SetGrants(aGrants);
}

void ServiceState::SetGrants(const Grants& aGrants)
{
  for (const auto& target : targets_) {
    const auto found = aGrants.find(target->Route().id);
    target->SetGrant(found == aGrants.end()
                       ? std::nullopt
                       : std::optional<HeldGrant>(found->second));
  }
}

std::shared_ptr<TargetView> ServiceState::Pick(TimePoint aNow) const
{
  std::shared_ptr<TargetView> best;
  for (const auto& target : targets_) {
    if (target->MaySend(aNow, OwnLimit()) &&
        (!best || target->InFlight() < best->InFlight())) {
      best = target;
    }
  }
  return best;
}

void ServiceState::ReportWanted()
{
  const SlotCount wanted(static_cast<std::uint32_t>(waiting_.size()));
  for (const auto& target : targets_) {
    if (target->NeedsGrant()) {
      target->OnWanted(std::min(wanted, route_->slots));
    }
  }
}

SlotCount ServiceState::OwnLimit() const
{
  // Each request in progress takes one connection.
  return std::max(
    SlotCount(1),
    std::min(route_->slots, SlotCount(route_->connections.value())));
}

} // namespace lacewing
