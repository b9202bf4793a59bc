#ifndef FLEET_VERSIONLISTS_H
#define FLEET_VERSIONLISTS_H

#include "balance/FleetTarget.h"
#include "lacewing/ServiceVersion.h"
#include "lacewing/TargetId.h"
#include "rollout/RolloutDirective.h"

#include <set>
#include <vector>

namespace lacewing {

/** A service's targets as an order divides them. */
struct VersionLists
{
  /** Get the usual requests. */
  std::vector<FleetTarget> usual;
  /** Get the share of requests that the directive states. */
  std::vector<FleetTarget> canary;

  /**
   * Divides aTargets under aDirective, the one in force. aWarm are the targets
   * of the ordered version that are warm. aInUse says that the ordered version
   * had all requests before the order, so that it keeps them while the service
   * has no other targets.
   */
  static VersionLists Make(const std::vector<FleetTarget>& aTargets,
                           const RolloutDirective& aDirective,
                           const std::set<TargetId>& aWarm,
                           bool aInUse);
};

} // namespace lacewing

#endif // FLEET_VERSIONLISTS_H
