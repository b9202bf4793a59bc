#ifndef CATALOG_CATALOGITEM_H
#define CATALOG_CATALOGITEM_H

#include "lacewing/Revision.h"
#include "wire/WireMember.h"

#include <string>
#include <tuple>

namespace lacewing {

/** One object of the store at a revision. */
struct CatalogItem
{
  std::string name;
  Revision revision;
  bool removed = false;
  /** As returned by the store; hosts pass it on to each other unchanged. */
  std::string body;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "n", &CatalogItem::name },
                           WireMember{ "r", &CatalogItem::revision },
                           WireMember{ "x", &CatalogItem::removed },
                           WireMember{ "b", &CatalogItem::body });
  }
};

} // namespace lacewing

#endif // CATALOG_CATALOGITEM_H
