#ifndef FLEET_CATALOGPULLRESPONSE_H
#define FLEET_CATALOGPULLRESPONSE_H

#include "catalog/CatalogChanges.h"
#include "lacewing/Clock.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/**
 * A peer's response to a catalog pull: the changes of each CatalogKind, in the
 * order of the enumeration.
 */
struct CatalogPullResponse
{
  std::vector<CatalogChanges> parts;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "p", &CatalogPullResponse::parts });
  }
};

} // namespace lacewing

#endif // FLEET_CATALOGPULLRESPONSE_H
