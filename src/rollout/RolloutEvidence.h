#ifndef ROLLOUT_ROLLOUTEVIDENCE_H
#define ROLLOUT_ROLLOUTEVIDENCE_H

#include "lacewing/Clock.h"
#include "rollout/OrderId.h"
#include "rollout/RouteEvidence.h"
#include "wire/WireMember.h"

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

namespace lacewing {

/**
 * What one host, or all live hosts of an availability zone together, have seen
 * of a rollout.
 */
struct RolloutEvidence
{
  OrderId order;
  /** Number of hosts that the evidence is from. */
  std::uint32_t hosts = 1;
  /** The lowest step of a directive that any of these hosts applies. */
  std::uint32_t step = 0;
  /** Requests in progress at targets of the old version. */
  std::uint32_t oldInFlight = 0;
  /** Requests for the service since the order, whichever version got them. */
  std::uint32_t requests = 0;
  /**
   * Attempts sent to targets of the new version since the order, whatever came
   * of them: retries, hedges and attempts at cold targets included.
   */
  std::uint32_t newAttempts = 0;
  /**
   * At most kMaxRoutes routes, and an entry for route 0 with all others.
   */
  std::vector<RouteEvidence> routes;
  /** Time since the oldest part of the evidence was counted. */
  Duration age{ 0 };

  /** More would not fit a datagram beside a heartbeat's other members. */
  static constexpr std::size_t kMaxRoutes = 6;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "o", &RolloutEvidence::order },
                           WireMember{ "h", &RolloutEvidence::hosts },
                           WireMember{ "n", &RolloutEvidence::step },
                           WireMember{ "f", &RolloutEvidence::oldInFlight },
                           WireMember{ "q", &RolloutEvidence::requests },
                           WireMember{ "u", &RolloutEvidence::newAttempts },
                           WireMember{ "r", &RolloutEvidence::routes },
                           WireMember{ "a", &RolloutEvidence::age });
  }
};

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTEVIDENCE_H
