#ifndef FLEET_WIREREADING_H
#define FLEET_WIREREADING_H

#include "balance/LoadReading.h"
#include "wire/WireMember.h"

#include <cstdint>
#include <tuple>

namespace lacewing {

/**
 * A load reading as sent between hosts. It holds the age of the reading instead
 * of a time, since the clocks of hosts differ.
 */
struct WireReading
{
  TargetId target;
  std::uint32_t state = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /** Zero if the target does not report its load. */
  std::uint32_t slots = 0;
  std::uint32_t slowdownPercent = 0;
  Duration coldLeft{ 0 };
  Duration age{ 0 };

  static WireReading From(const LoadReading& aReading, TimePoint aNow);
  LoadReading ToReading(TimePoint aNow) const;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "t", &WireReading::target },
                           WireMember{ "s", &WireReading::state },
                           WireMember{ "r", &WireReading::running },
                           WireMember{ "w", &WireReading::waiting },
                           WireMember{ "n", &WireReading::slots },
                           WireMember{ "p", &WireReading::slowdownPercent },
                           WireMember{ "c", &WireReading::coldLeft },
                           WireMember{ "a", &WireReading::age });
  }
};

} // namespace lacewing

#endif // FLEET_WIREREADING_H
