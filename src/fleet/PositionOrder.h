#ifndef FLEET_POSITIONORDER_H
#define FLEET_POSITIONORDER_H

#include "catalog/StorePosition.h"

#include <vector>

namespace lacewing {

/**
 * Whether any of aPositions is later than that of aReached, both by
 * CatalogKind. Kinds that one of them lacks do not count: a host that does not
 * follow rollouts states one position less.
 */
bool IsAhead(const std::vector<StorePosition>& aPositions,
             const std::vector<StorePosition>& aReached);

} // namespace lacewing

#endif // FLEET_POSITIONORDER_H
