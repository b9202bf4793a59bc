#ifndef CATALOG_CATALOGITEM_H
#define CATALOG_CATALOGITEM_H

#include "catalog/StorePosition.h"
#include "catalog/WriterVersion.h"
#include "wire/WireMember.h"

#include <string>
#include <tuple>

namespace lacewing {

/** One object of the store, or its removal, at a position. */
struct CatalogItem
{
  std::string name;
  StorePosition position;
  bool removed = false;
  /** As returned by the store; hosts pass it on to each other unchanged. */
  std::string body;
  /** For a removal, that of the last state before it. */
  WriterVersion writer;
  /**
   * The store has just been away or has come back from a copy, so the object's
   * writer may still correct this: a removed object may be written again, and
   * an object that was removed before may disappear again.
   */
  bool unconfirmed = false;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "n", &CatalogItem::name },
                           WireMember{ "p", &CatalogItem::position },
                           WireMember{ "x", &CatalogItem::removed },
                           WireMember{ "b", &CatalogItem::body },
                           WireMember{ "w", &CatalogItem::writer },
                           WireMember{ "u", &CatalogItem::unconfirmed });
  }
};

} // namespace lacewing

#endif // CATALOG_CATALOGITEM_H
