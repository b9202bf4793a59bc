#ifndef FLEET_KNOWNORDER_H
#define FLEET_KNOWNORDER_H

#include "catalog/StorePosition.h"
#include "lacewing/Clock.h"
#include "rollout/RolloutOrder.h"

namespace lacewing {

/** An order as this host has read it. */
struct KnownOrder
{
  RolloutOrder order;
  StorePosition position;
  /** When this host first read the order, whatever its status was. */
  TimePoint readAt;

  /** Whether traffic may move. An order without a period moves none. */
  bool InProgress() const
  {
    return !order.Ended() && order.period > Duration(0);
  }
};

} // namespace lacewing

#endif // FLEET_KNOWNORDER_H
