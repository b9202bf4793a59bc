#ifndef CATALOG_STOREPOSITION_H
#define CATALOG_STOREPOSITION_H

#include "lacewing/Revision.h"
#include "lacewing/StoreEra.h"
#include "wire/WireMember.h"

#include <string>
#include <tuple>

namespace lacewing {

/**
 * A point in the store's history. A store that comes back from a copy gives
 * revisions out again, so they compare only within one era.
 */
struct StorePosition
{
  StoreEra era;
  Revision revision;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "e", &StorePosition::era },
                           WireMember{ "r", &StorePosition::revision });
  }

  friend constexpr bool operator==(StorePosition aLeft, StorePosition aRight)
  {
    return aLeft.era == aRight.era && aLeft.revision == aRight.revision;
  }
  friend constexpr bool operator!=(StorePosition aLeft, StorePosition aRight)
  {
    return !(aLeft == aRight);
  }
  friend constexpr bool operator<(StorePosition aLeft, StorePosition aRight)
  {
    return aLeft.era == aRight.era ? aLeft.revision < aRight.revision
                                   : aLeft.era < aRight.era;
  }
  friend constexpr bool operator>(StorePosition aLeft, StorePosition aRight)
  {
    return aRight < aLeft;
  }
  friend constexpr bool operator<=(StorePosition aLeft, StorePosition aRight)
  {
    return !(aRight < aLeft);
  }
};

/** Formats as "ERA.REVISION", for logs and for requests between hosts. */
std::string ToString(StorePosition aPosition);

} // namespace lacewing

#endif // CATALOG_STOREPOSITION_H
