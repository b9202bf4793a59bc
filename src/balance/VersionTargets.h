#ifndef BALANCE_VERSIONTARGETS_H
#define BALANCE_VERSIONTARGETS_H

#include "balance/FleetTarget.h"
#include "core/SnapshotCell.h"
#include "rollout/OrderId.h"
#include "rollout/VersionSplit.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace lacewing {

/** What a snapshot states of a service for which an order of a rollout exists.
 */
struct VersionTargets
{
  OrderId order;
  /** The step of the directive that the lists of targets follow. */
  std::uint32_t step = 0;
  /** The order has not ended, so that evidence is counted. */
  bool inProgress = false;
  /** The targets on which the ordered version is tried. */
  std::vector<FleetTarget> canary;
  /**
   * The share of requests for these targets. It is confirmed several times per
   * second, which must not need a new snapshot each time.
   */
  std::shared_ptr<const SnapshotCell<VersionSplit>> split;
};

} // namespace lacewing

#endif // BALANCE_VERSIONTARGETS_H
