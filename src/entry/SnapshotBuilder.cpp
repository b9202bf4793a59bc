#include "entry/SnapshotBuilder.h"

#include <algorithm>

namespace lacewing {

namespace {

// Design section 6: a fifth of a target's connections is reserved for the
// replacement of hosts.
constexpr std::uint32_t kUsableFifths = 4;
constexpr std::uint32_t kFifths = 5;

bool SameTarget(const TargetRoute& aLeft, const TargetRoute& aRight)
{
  return aLeft.id == aRight.id && aLeft.endpoint == aRight.endpoint &&
         aLeft.zone == aRight.zone && aLeft.phase == aRight.phase &&
         aLeft.epoch == aRight.epoch;
}

bool SameRoute(const ServiceRoute& aLeft, const ServiceRoute& aRight)
{
  return aLeft.id == aRight.id && aLeft.slots == aRight.slots &&
         aLeft.connections == aRight.connections &&
         aLeft.idempotentMethods == aRight.idempotentMethods &&
         aLeft.deadline == aRight.deadline &&
         std::equal(aLeft.targets.begin(),
                    aLeft.targets.end(),
                    aRight.targets.begin(),
                    aRight.targets.end(),
                    SameTarget);
}

// A target whose zone is not in the configuration takes no work.
bool ZoneTakesWork(const Configuration& aConfiguration, const ZoneId& aZone)
{
  const auto zone = aConfiguration.zones.find(aZone);
  return zone != aConfiguration.zones.end() &&
         TakesNewWork(zone->second.lifecycle);
}

} // namespace

std::shared_ptr<const RoutingSnapshot> SnapshotBuilder::Build(
  const Configuration& aConfiguration,
  const KnownPhases& aPhases)
{
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->version = aConfiguration.version;
  snapshot->ownZone = ownZone_;
  for (const auto& [id, service] : aConfiguration.services) {
    auto route = BuildRoute(*service, aConfiguration, aPhases);
    if (last_) {
      const auto before = last_->services.find(id);
      if (before != last_->services.end() &&
          SameRoute(*before->second, *route)) {
        route = before->second;
      }
    }
    snapshot->services.emplace(id, std::move(route));
  }
  last_ = snapshot;
  return snapshot;
}

std::shared_ptr<const ServiceRoute> SnapshotBuilder::BuildRoute(
  const ServiceConfig& aService,
  const Configuration& aConfiguration,
  const KnownPhases& aPhases) const
{
  auto route = std::make_shared<ServiceRoute>();
  route->id = aService.id;
  route->slots = aService.slots;
  route->connections = ConnectionsPerWorker(aService, aConfiguration);
  route->idempotentMethods = aService.idempotentMethods;
  route->deadline = aService.deadline;
  for (const TargetConfig& target : aService.targets) {
    if (!TakesNewWork(target.lifecycle) ||
        !ZoneTakesWork(aConfiguration, target.zone)) {
      continue;
    }
    const TargetStatus status = aPhases.Find(target.id);
    route->targets.push_back(
      { target.id, target.endpoint, target.zone, status.phase, status.epoch });
  }
  std::sort(route->targets.begin(),
            route->targets.end(),
            [](const TargetRoute& aLeft, const TargetRoute& aRight) {
              return aLeft.id < aRight.id;
            });
  return route;
}

ConnectionCount SnapshotBuilder::ConnectionsPerWorker(
  const ServiceConfig& aService,
  const Configuration& aConfiguration) const
{
  std::uint32_t hosts = 0;
  for (const auto& [id, host] : aConfiguration.hosts) {
    hosts += host.lifecycle == Lifecycle::kOut ? 0 : 1;
  }
  const std::uint32_t usable =
    aService.connections.value() * kUsableFifths / kFifths;
  return ConnectionCount(
    std::max(usable / (std::max(hosts, 1U) * workers_), 1U));
}

} // namespace lacewing
