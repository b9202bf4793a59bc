#ifndef DECISION_ROUTINGCONTEXT_H
#define DECISION_ROUTINGCONTEXT_H

#include "decision/TargetView.h"
#include "lacewing/Clock.h"
#include "lacewing/SlotCount.h"

#include <cstddef>
#include <memory>
#include <random>
#include <vector>

namespace lacewing {

/** What a routing strategy may look at for one request. */
struct RoutingContext
{
  using Targets = std::vector<std::shared_ptr<TargetView>>;

  TimePoint now;
  const Targets& targets;
  std::mt19937_64& random;
  /** Slots of each target. */
  SlotCount slots;
  /** Requests that this worker may have in progress at one target. */
  SlotCount limit;
  /** Usual answer time of the service; zero when unknown. */
  Duration typical{ 0 };
  /** Answer time that shows a slow target; zero when unknown. */
  Duration slow{ 0 };
  /** Mean of other workers' requests in progress at a target. */
  double usualOthers = 0;
  /** How long the request has waited so far. */
  Duration waited{ 0 };
  /** The target of the request's last attempt, if any. */
  const TargetView* avoid = nullptr;

  /** Whether a request may be sent to the target at all. */
  bool Allows(std::size_t aIndex) const
  {
    const TargetView& target = *targets[aIndex];
    return &target != avoid && target.MaySend(now, limit);
  }
  double Penalty(const TargetView& aTarget) const
  {
    return aTarget.Penalty(now, slow);
  }
  /** Requests in progress at the target, those of others estimated. */
  double InFlight(const TargetView& aTarget) const
  {
    return aTarget.InFlight().value() +
           aTarget.OthersInFlight(now, slots, usualOthers);
  }
};

} // namespace lacewing

#endif // DECISION_ROUTINGCONTEXT_H
