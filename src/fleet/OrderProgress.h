#ifndef FLEET_ORDERPROGRESS_H
#define FLEET_ORDERPROGRESS_H

#include "fleet/OrderDecider.h"
#include "fleet/OrderEvidence.h"
#include "fleet/OrderStatus.h"

namespace lacewing {

/** What this host does and knows about one order in progress. */
struct OrderProgress
{
  OrderId order;
  OrderEvidence evidence;
  OrderDecider decider;
  OrderStatus status;
};

} // namespace lacewing

#endif // FLEET_ORDERPROGRESS_H
