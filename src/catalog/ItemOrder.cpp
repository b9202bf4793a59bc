#include "catalog/ItemOrder.h"

namespace lacewing {

bool IsNewer(CatalogKind aKind,
             const CatalogItem& aItem,
             const CatalogItem& aHeld)
{
  const bool sameEra = aItem.position.era == aHeld.position.era;
  const bool byWriter = aKind == CatalogKind::kConfiguration || !sameEra;
  if (byWriter && !(aItem.writer == aHeld.writer)) {
    return aHeld.writer < aItem.writer;
  }
  return aHeld.position < aItem.position;
}

bool MayPrecede(const CatalogItem& aItem, const CatalogItem& aRemoval)
{
  return aRemoval.position.era < aItem.position.era &&
         !(aRemoval.writer < aItem.writer);
}

} // namespace lacewing
