#ifndef FLEET_ZONEDIGEST_H
#define FLEET_ZONEDIGEST_H

#include "lacewing/Clock.h"
#include "lacewing/ZoneId.h"
#include "spill/ZoneLoad.h"
#include "wire/HostAddress.h"
#include "wire/OptionalWireMember.h"
#include "wire/WireMember.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace lacewing {

/** Summary of a zone's hosts, sent to other zones. */
struct ZoneDigest
{
  ZoneId zone;
  /** Number of hosts that take tasks. */
  std::uint32_t alive = 0;
  /**
   * Number of hosts that became unresponsive and may still run behind a network
   * partition.
   */
  std::uint32_t unresponsive = 0;
  /** Whether at least one host of the zone can reach the store. */
  bool reachesStore = false;
  /**
   * Age of the digest when it is sent; above zero for one that a speaker passes
   * on within its zone.
   */
  Duration age{ 0 };
  /** The zone's speakers; empty unless the deployment has customers' limits. */
  std::vector<HostAddress> speakers{};
  /** Loads of the zone's targets by service; some of them, or none. */
  std::vector<ZoneLoad> loads{};

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "z", &ZoneDigest::zone },
                           WireMember{ "n", &ZoneDigest::alive },
                           WireMember{ "q", &ZoneDigest::unresponsive },
                           WireMember{ "s", &ZoneDigest::reachesStore },
                           WireMember{ "a", &ZoneDigest::age },
                           OptionalWireMember{ "k", &ZoneDigest::speakers },
                           OptionalWireMember{ "l", &ZoneDigest::loads });
  }
};

} // namespace lacewing

#endif // FLEET_ZONEDIGEST_H
