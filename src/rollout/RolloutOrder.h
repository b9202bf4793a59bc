#ifndef ROLLOUT_ROLLOUTORDER_H
#define ROLLOUT_ROLLOUTORDER_H

#include "lacewing/Clock.h"
#include "lacewing/Revision.h"
#include "rollout/OrderId.h"
#include "rollout/RolloutStatus.h"

namespace lacewing {

/** An operator's order to move a service to targets of another version. */
struct RolloutOrder
{
  OrderId id;
  /** The time in which the rollout must end. */
  Duration period{ 0 };
  /** The object's revision, on which writes of the status are conditional. */
  Revision revision;
  RolloutStatus status;

  /** Whether the status says that this order has ended. */
  bool Ended() const
  {
    return status.version == id.version && IsTerminal(status.state);
  }
};

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTORDER_H
