#ifndef CATALOG_ITEMORDER_H
#define CATALOG_ITEMORDER_H

#include "catalog/CatalogItem.h"
#include "catalog/CatalogKind.h"

namespace lacewing {

/**
 * Whether aItem is a newer state of the object than aHeld. Within an era of the
 * store the later position is newer. Across eras, and always for a
 * configuration, the later version of the object's writer is newer: the store
 * may have lost a state that is still in force and serve an older one under a
 * later era.
 */
bool IsNewer(CatalogKind aKind,
             const CatalogItem& aItem,
             const CatalogItem& aHeld);

/**
 * Whether aItem may be a state from before aRemoval that a copy of the store
 * has brought back.
 */
bool MayPrecede(const CatalogItem& aItem, const CatalogItem& aRemoval);

} // namespace lacewing

#endif // CATALOG_ITEMORDER_H
