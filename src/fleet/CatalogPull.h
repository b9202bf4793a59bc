#ifndef FLEET_CATALOGPULL_H
#define FLEET_CATALOGPULL_H

#include "catalog/CatalogChanges.h"
#include "lacewing/Clock.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** A peer's answer to a pull: what changed, by CatalogKind. */
struct CatalogPull
{
  std::vector<CatalogChanges> parts;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "p", &CatalogPull::parts });
  }
};

} // namespace lacewing

#endif // FLEET_CATALOGPULL_H
