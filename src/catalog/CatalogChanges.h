#ifndef CATALOG_CATALOGCHANGES_H
#define CATALOG_CATALOGCHANGES_H

#include "catalog/CatalogItem.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** The changes to the objects of one kind up to a revision. */
struct CatalogChanges
{
  /** Whether items lists all objects of the kind; others were removed. */
  bool full = false;
  /** The revision that the changes lead up to. */
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
