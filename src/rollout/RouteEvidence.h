#ifndef ROLLOUT_ROUTEEVIDENCE_H
#define ROLLOUT_ROUTEEVIDENCE_H

#include "wire/WireMember.h"

#include <cstdint>
#include <tuple>

namespace lacewing {

/**
 * Attempts on one route that ended at targets of the old and of the new version
 * since a rollout began. Counts only grow while a host runs.
 */
struct RouteEvidence
{
  /** Stable hash of the route's name; 0 for all routes that are not listed. */
  std::uint32_t route = 0;
  std::uint32_t oldCount = 0;
  std::uint32_t oldBad = 0;
  std::uint32_t newCount = 0;
  std::uint32_t newBad = 0;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "r", &RouteEvidence::route },
                           WireMember{ "o", &RouteEvidence::oldCount },
                           WireMember{ "b", &RouteEvidence::oldBad },
                           WireMember{ "n", &RouteEvidence::newCount },
                           WireMember{ "w", &RouteEvidence::newBad });
  }
};

} // namespace lacewing

#endif // ROLLOUT_ROUTEEVIDENCE_H
