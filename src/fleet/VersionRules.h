#ifndef FLEET_VERSIONRULES_H
#define FLEET_VERSIONRULES_H

#include "balance/FleetSnapshot.h"
#include "balance/LoadSnapshot.h"
#include "core/SnapshotCell.h"
#include "fleet/RolloutOrders.h"
#include "fleet/TargetReadiness.h"
#include "fleet/VersionHold.h"
#include "fleet/VersionLists.h"
#include "rollout/DirectiveTable.h"
#include "rollout/VersionCapacity.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lacewing {

/**
 * Decides which targets of a service this host uses, by their version, the
 * orders and the directives, and publishes the split of the requests.
 */
class VersionRules
{
public:
  VersionRules(const Clock& aClock,
               const RolloutOrders& aOrders,
               const DirectiveTable& aDirectives,
               const SnapshotCell<LoadSnapshot>& aLoad);

  /** The orders have been read anew; aGone have gone without an end. */
  void OnOrders(const std::vector<OrderId>& aGone);

  /**
   * Leaves in aSnapshot only the targets that may be used, and adds the lists
   * of the services with an order.
   */
  void Apply(FleetSnapshot& aSnapshot);

  /** Whether Apply would give other lists than it did last. */
  bool Outdated();

  /** Publishes the shares of requests that are in force. */
  void PublishSplits();

  /** Warm targets of the ordered version, of others, and slots in use of all.
   */
  VersionCapacity NewTargets(const ServiceId& aService) const;
  VersionCapacity OldTargets(const ServiceId& aService) const;
  double BusySlots(const ServiceId& aService) const;

private:
  /** What was applied last to a service with an order. */
  struct Applied
  {
    OrderId order;
    Duration warmUp{ 0 };
    /** The service's targets that are not held back. */
    std::vector<FleetTarget> targets;
    std::uint32_t step = 0;
    /** The targets of the canary list. */
    std::set<TargetId> canary;
    /** Targets of other versions while the order was in progress. */
    std::map<TargetId, Incarnation> replaced;
    std::shared_ptr<SnapshotCell<VersionSplit>> split;
  };

  void HoldBack(FleetSnapshot& aSnapshot, TimePoint aNow);
  void Divide(FleetSnapshot& aSnapshot,
              const KnownOrder& aOrder,
              TimePoint aNow);
  /** The directive in force; one without a share if the order is not valid. */
  RolloutDirective InForce(const KnownOrder& aOrder, TimePoint aNow) const;
  VersionLists ListsOf(const Applied& aApplied,
                       const KnownOrder& aOrder,
                       const RolloutDirective& aDirective,
                       TimePoint aNow);
  VersionCapacity CapacityOf(const ServiceId& aService, bool aOrdered) const;
  /** Notes the targets that stop when the order is completed. */
  static void NoteReplaced(Applied& aApplied);
  /**
   * The targets in use after the order was completed: all but those that it has
   * replaced, which were there during the order or started before the first
   * target of its version. Targets that start later may run any version, as in
   * a release.
   */
  static std::vector<FleetTarget> UsableAfter(const Applied& aApplied);
  static std::set<TargetId> IdsOf(const std::vector<FleetTarget>& aTargets);

  const Clock& clock_;
  const RolloutOrders& orders_;
  const DirectiveTable& directives_;
  const SnapshotCell<LoadSnapshot>& load_;
  VersionHold hold_;
  TargetReadiness readiness_;
  std::map<ServiceId, Applied> applied_;
  /** When the next version that is held back may be used. */
  std::optional<TimePoint> nextRelease_;
};

} // namespace lacewing

#endif // FLEET_VERSIONRULES_H
