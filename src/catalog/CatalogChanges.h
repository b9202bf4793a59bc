#ifndef CATALOG_CATALOGCHANGES_H
#define CATALOG_CATALOGCHANGES_H

#include "catalog/CatalogItem.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** What one kind of objects became up to a revision. */
struct CatalogChanges
{
  /** All objects there are; others of the kind are gone. */
  bool full = false;
  Revision revision;
  std::vector<CatalogItem> items;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "f", &CatalogChanges::full },
                           WireMember{ "r", &CatalogChanges::revision },
                           WireMember{ "i", &CatalogChanges::items });
  }
};

} // namespace lacewing

#endif // CATALOG_CATALOGCHANGES_H
