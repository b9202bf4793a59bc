#ifndef BALANCE_FLEETSNAPSHOT_H
#define BALANCE_FLEETSNAPSHOT_H

#include "balance/FleetTarget.h"
#include "balance/TargetGroup.h"
#include "balance/VersionTargets.h"
#include "catalog/RouteTable.h"

#include <map>
#include <memory>
#include <vector>

namespace lacewing {

/**
 * What the traffic thread bases its decisions on, except load. A snapshot is
 * immutable.
 */
struct FleetSnapshot
{
  /** Null until a configuration has been read. */
  std::shared_ptr<const RouteTable> routes;
  /**
   * Targets that accept new requests, by service. Of a service with a rollout,
   * those of the version that gets the usual requests.
   */
  std::map<ServiceId, std::vector<FleetTarget>> targets;
  /** The services for which an order of a rollout exists. */
  std::map<ServiceId, VersionTargets> rollouts;
  /** Number of live hosts, including this one. */
  unsigned hosts = 1;

  /** Returns null if the service has no such targets. */
  const std::vector<FleetTarget>* Find(const ServiceId& aService,
                                       TargetGroup aGroup) const
  {
    if (aGroup == TargetGroup::kCanary) {
      const auto rollout = rollouts.find(aService);
      return rollout == rollouts.end() ? nullptr : &rollout->second.canary;
    }
    const auto usual = targets.find(aService);
    return usual == targets.end() ? nullptr : &usual->second;
  }
};

} // namespace lacewing

#endif // BALANCE_FLEETSNAPSHOT_H
