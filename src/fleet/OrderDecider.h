#ifndef FLEET_ORDERDECIDER_H
#define FLEET_ORDERDECIDER_H

#include "fleet/KnownOrder.h"
#include "rollout/DeciderInput.h"
#include "rollout/ExposureBounds.h"
#include "rollout/RolloutDecider.h"
#include "rollout/RolloutDecision.h"

#include <optional>

namespace lacewing {

/** Decides about one order while this host is the one that does, and logs it.
 */
class OrderDecider
{
public:
  explicit OrderDecider(ExposureBounds aBounds);

  /** Another host decides. */
  void Stop();

  /** Decides on aInput; called on each step of the control thread. */
  RolloutDecision Decide(const KnownOrder& aOrder, const DeciderInput& aInput);

  bool Active() const { return decider_.has_value(); }

private:
  void LogDecision(const OrderId& aOrder,
                   const DeciderInput& aInput,
                   const RolloutDecision& aDecision);

  ExposureBounds bounds_;
  std::optional<RolloutDecider> decider_;
  /** Why the rollout waited, as logged last. */
  std::optional<RolloutReason> loggedReason_;
};

} // namespace lacewing

#endif // FLEET_ORDERDECIDER_H
