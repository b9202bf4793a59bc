#ifndef CATALOG_CATALOGCHANGES_H
#define CATALOG_CATALOGCHANGES_H

#include "catalog/CatalogItem.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** The changes to the objects of one kind up to a position. */
struct CatalogChanges
{
  /** Whether items lists all objects of the kind; others were removed. */
  bool full = false;
  /** The position that the changes lead up to. */
  StorePosition position;
  std::vector<CatalogItem> items;
  /**
   * Read from a store that has just been away: removals, of listed items or by
   * absence from a full list, are unconfirmed. Peers get the mark with each
   * removal instead.
   */
  bool afterOutage = false;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "f", &CatalogChanges::full },
                           WireMember{ "p", &CatalogChanges::position },
                           WireMember{ "i", &CatalogChanges::items });
  }
};

} // namespace lacewing

#endif // CATALOG_CATALOGCHANGES_H
