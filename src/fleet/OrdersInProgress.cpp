#include "fleet/OrdersInProgress.h"

namespace lacewing {

OrdersInProgress::OrdersInProgress(const Clock& aClock,
                                   CatalogSource& aSource,
                                   ExposureBounds aBounds)
  : clock_(aClock)
  , source_(aSource)
  , bounds_(aBounds)
{
}

void OrdersInProgress::Update(const RolloutOrders& aOrders)
{
  for (auto each = orders_.begin(); each != orders_.end();) {
    const KnownOrder* known = aOrders.Find(each->first);
    const bool kept = known != nullptr && known->InProgress() &&
                      known->order.id == each->second.order;
    each = kept ? std::next(each) : orders_.erase(each);
  }
  for (const auto& [service, known] : aOrders.All()) {
    if (known.InProgress()) {
      const OrderId& id = known.order.id;
      orders_.try_emplace(service,
                          OrderProgress{ id,
                                         OrderEvidence(id),
                                         OrderDecider(bounds_),
                                         OrderStatus(clock_, source_) });
    }
  }
}

OrderProgress* OrdersInProgress::Find(const OrderId& aOrder)
{
  const auto found = orders_.find(aOrder.service);
  return found == orders_.end() || found->second.order != aOrder
           ? nullptr
           : &found->second;
}

const OrderProgress* OrdersInProgress::Find(const OrderId& aOrder) const
{
  const auto found = orders_.find(aOrder.service);
  return found == orders_.end() || found->second.order != aOrder
           ? nullptr
           : &found->second;
}

} // namespace lacewing
