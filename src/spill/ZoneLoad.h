#ifndef SPILL_ZONELOAD_H
#define SPILL_ZONELOAD_H

#include "lacewing/Clock.h"
#include "lacewing/ServiceId.h"
#include "lacewing/ZoneId.h"
#include "wire/OptionalWireMember.h"
#include "wire/WireMember.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace lacewing {

/** Load of one service's targets in one availability zone. */
struct ZoneLoad
{
  ServiceId service;
  /** Slots of the warm targets that serve and report their load. */
  std::uint32_t slots = 0;
  /** Requests running or queued at these targets, whichever zone sent them. */
  std::uint32_t busy = 0;
  /** Mean slowdown of these targets, weighted by slots; 100 is usual. */
  std::uint32_t slowdownPercent = 100;
  /** Mean age of the readings. */
  Duration age{ 0 };
  /**
   * Zones in which the zone's own hosts have requests in progress, and how many
   * in each, in hundredths of a request, as expected from the hosts' decision.
   * Lists of numbers, since nested maps would exceed the depth that hosts of
   * earlier releases accept.
   */
  std::vector<ZoneId> outZones;
  std::vector<std::uint32_t> outHundredths;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "v", &ZoneLoad::service },
                           WireMember{ "n", &ZoneLoad::slots },
                           WireMember{ "b", &ZoneLoad::busy },
                           WireMember{ "p", &ZoneLoad::slowdownPercent },
                           WireMember{ "a", &ZoneLoad::age },
                           OptionalWireMember{ "z", &ZoneLoad::outZones },
                           OptionalWireMember{ "h", &ZoneLoad::outHundredths });
  }
};

} // namespace lacewing

#endif // SPILL_ZONELOAD_H
