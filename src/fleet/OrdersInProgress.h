#ifndef FLEET_ORDERSINPROGRESS_H
#define FLEET_ORDERSINPROGRESS_H

#include "fleet/OrderProgress.h"
#include "fleet/RolloutOrders.h"

#include <map>

namespace lacewing {

/** The orders that have not ended, with what this host does about each. */
class OrdersInProgress
{
public:
  OrdersInProgress(const Clock& aClock,
                   CatalogSource& aSource,
                   ExposureBounds aBounds);

  /** Adds the orders that are new and removes those that have ended or gone. */
  void Update(const RolloutOrders& aOrders);

  /** Null unless the order is in progress. */
  OrderProgress* Find(const OrderId& aOrder);
  const OrderProgress* Find(const OrderId& aOrder) const;

  std::map<ServiceId, OrderProgress>& All() { return orders_; }

private:
  const Clock& clock_;
  CatalogSource& source_;
  const ExposureBounds bounds_;
  std::map<ServiceId, OrderProgress> orders_;
};

} // namespace lacewing

#endif // FLEET_ORDERSINPROGRESS_H
