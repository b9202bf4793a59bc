#include "entry/SnapshotBuilder.h"

#include "decision/SubsetSelector.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

bool SameTarget(const TargetRoute& aLeft, const TargetRoute& aRight)
{
  return aLeft.id == aRight.id && aLeft.endpoint == aRight.endpoint &&
         aLeft.zone == aRight.zone && aLeft.phase == aRight.phase &&
         aLeft.epoch == aRight.epoch;
}

bool SameRoute(const ServiceRoute& aLeft, const ServiceRoute& aRight)
{
  return aLeft.slots == aRight.slots &&
         aLeft.connections == aRight.connections &&
         aLeft.idempotentMethods == aRight.idempotentMethods &&
         aLeft.deadline == aRight.deadline &&
         std::equal(aLeft.targets.begin(),
                    aLeft.targets.end(),
                    aRight.targets.begin(),
                    aRight.targets.end(),
                    SameTarget);
}

} // namespace

SnapshotBuilder::SnapshotBuilder(HostId aOwnHost,
                                 ZoneId aOwnZone,
                                 unsigned aWorkers)
  : ownHost_(std::move(aOwnHost))
  , ownZone_(std::move(aOwnZone))
  , workers_(aWorkers)
{
}

std::shared_ptr<const RoutingSnapshot> SnapshotBuilder::Build(
  const Configuration& aConfiguration,
  const KnownPhases& aPhases)
{
  TakeZonesAndHosts(aConfiguration);
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->version = aConfiguration.version;
  snapshot->ownZone = ownZone_;
  std::map<ServiceId, Built> before = std::exchange(built_, {});
  for (const auto& [id, service] : aConfiguration.services) {
    Built built = std::move(before[id]);
    if (built.config != service) {
      built.config = service;
      built.subset = SelectTargets(*service);
    }
    auto route = MakeRoute(built, aPhases);
    if (!built.route || !SameRoute(*built.route, *route)) {
      built.route = std::move(route);
    }
    snapshot->services.emplace(id, built.route);
    built_.emplace(id, std::move(built));
  }
  return snapshot;
}

void SnapshotBuilder::TakeZonesAndHosts(const Configuration& aConfiguration)
{
  // A target whose zone is not in the configuration takes no work.
  std::vector<ZoneId> zones;
  for (const auto& [id, zone] : aConfiguration.zones) {
    if (TakesNewWork(zone.lifecycle)) {
      zones.push_back(id);
    }
  }
  // A host in an unserved zone still serves its callers, so only its own
  // state decides whether it takes a share of the connections.
  std::vector<HostId> hosts;
  for (const auto& [id, host] : aConfiguration.hosts) {
    if (TakesNewWork(host.lifecycle)) {
      hosts.push_back(id);
    }
  }
  if (zones != zones_ || hosts != hosts_) {
    zones_ = std::move(zones);
    hosts_ = std::move(hosts);
    for (auto& [id, built] : built_) {
      built.config = nullptr;
    }
  }
}

ServiceSubset SnapshotBuilder::SelectTargets(
  const ServiceConfig& aService) const
{
  std::vector<TargetRoute> usable;
  for (const TargetConfig& target : aService.targets) {
    if (TakesNewWork(target.lifecycle) &&
        std::binary_search(zones_.begin(), zones_.end(), target.zone)) {
      TargetRoute route;
      route.id = target.id;
      route.endpoint = target.endpoint;
      route.zone = target.zone;
      usable.push_back(std::move(route));
    }
  }
  return SubsetSelector(ownHost_, hosts_)
    .Select(aService.id, usable, aService.connections);
}

std::shared_ptr<const ServiceRoute> SnapshotBuilder::MakeRoute(
  const Built& aBuilt,
  const KnownPhases& aPhases) const
{
  auto route = std::make_shared<ServiceRoute>();
  route->id = aBuilt.config->id;
  route->slots = aBuilt.config->slots;
  route->connections =
    ConnectionCount(std::max(aBuilt.subset.connections.value() / workers_, 1U));
  route->idempotentMethods = aBuilt.config->idempotentMethods;
  route->deadline = aBuilt.config->deadline;
  route->targets = aBuilt.subset.targets;
  for (TargetRoute& target : route->targets) {
    const TargetStatus status = aPhases.Find(target.id);
    target.phase = status.phase;
    target.epoch = status.epoch;
  }
  return route;
}

} // namespace lacewing
