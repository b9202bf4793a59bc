#ifndef FLEET_ROLLOUTORDERS_H
#define FLEET_ROLLOUTORDERS_H

#include "catalog/CatalogDecoder.h"
#include "catalog/CatalogReplica.h"
#include "fleet/KnownOrder.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing {

/**
 * The orders of rollouts in the catalog, in decoded form. Those that cannot be
 * decoded are logged and left out.
 */
class RolloutOrders
{
public:
  explicit RolloutOrders(const CatalogDecoder& aDecoder);

  /**
   * Decodes what has changed. Returns the orders that have gone or were
   * replaced before they ended.
   */
  std::vector<OrderId> Update(const CatalogReplica& aReplica, TimePoint aNow);

  /** Whether the orders have been read, even if there are none. */
  bool Read() const { return read_; }

  const std::map<ServiceId, KnownOrder>& All() const { return orders_; }
  std::vector<OrderId> Ids() const;
  /** Null if the service has no order. */
  const KnownOrder* Find(const ServiceId& aService) const;

private:
  void UpdateOrder(const CatalogItem& aItem,
                   TimePoint aNow,
                   std::map<ServiceId, KnownOrder>& aOrders);

  const CatalogDecoder& decoder_;
  bool read_ = false;
  std::map<ServiceId, KnownOrder> orders_;
  /** The position at which an object could not be decoded. */
  std::map<std::string, StorePosition> unreadable_;
};

} // namespace lacewing

#endif // FLEET_ROLLOUTORDERS_H
