#ifndef FLEET_ORDERSTATUS_H
#define FLEET_ORDERSTATUS_H

#include "balance/WatchRole.h"
#include "fleet/CatalogSource.h"
#include "rollout/DirectiveTable.h"
#include "rollout/RolloutStatusDuty.h"

#include <memory>

namespace lacewing {

/** Writes the status of one order to the store when this host is to do so. */
class OrderStatus
{
public:
  OrderStatus(const Clock& aClock, CatalogSource& aSource);

  /**
   * Writes the status that is due. aRole is this host's part in watching the
   * store, which decides who writes.
   */
  void Update(WatchRole aRole,
              const RolloutOrder& aOrder,
              const DirectiveTable& aDirectives);

private:
  const Clock& clock_;
  CatalogSource& source_;
  /** Outlives this object while a write is running. */
  std::shared_ptr<RolloutStatusDuty> duty_;
};

} // namespace lacewing

#endif // FLEET_ORDERSTATUS_H
