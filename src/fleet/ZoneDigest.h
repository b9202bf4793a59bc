#ifndef FLEET_ZONEDIGEST_H
#define FLEET_ZONEDIGEST_H

#include "lacewing/Clock.h"
#include "lacewing/ZoneId.h"
#include "wire/WireMember.h"

#include <cstdint>
#include <tuple>

namespace lacewing {

/** What other zones need to know of a zone's hosts. */
struct ZoneDigest
{
  ZoneId zone;
  /** Hosts that take tasks. */
  std::uint32_t alive = 0;
  /** Hosts that fell silent and may still run behind a cut. */
  std::uint32_t unresponsive = 0;
  /** A host of the zone reaches the store. */
  bool reachesStore = false;
  /** How old this is, as a zone's speakers pass it on. */
  Duration age{ 0 };

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "z", &ZoneDigest::zone },
                           WireMember{ "n", &ZoneDigest::alive },
                           WireMember{ "q", &ZoneDigest::unresponsive },
                           WireMember{ "s", &ZoneDigest::reachesStore },
                           WireMember{ "a", &ZoneDigest::age });
  }
};

} // namespace lacewing

#endif // FLEET_ZONEDIGEST_H
