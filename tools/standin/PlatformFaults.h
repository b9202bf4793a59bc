#ifndef STANDIN_PLATFORMFAULTS_H
#define STANDIN_PLATFORMFAULTS_H

#include "core/JsonProperty.h"

#include <array>
#include <cstdint>

namespace lacewing {

/** What can be changed at run time with PUT /faults. */
struct PlatformFaults
{
  /** Connections are accepted and then dropped. */
  bool down = false;
  /** Delay of every call before it takes effect. */
  Duration slow{};
  /** Writes still to be applied without an answer. */
  std::uint32_t loseWriteAnswers = 0;
  /** Reads serve the values of the time when this was set. */
  bool stale = false;
  /** As stale, for this time only. */
  Duration staleFor{};
  double readsPerSecond = 2000;
  double writesPerSecond = 400;
  Duration hostListLag{};
};

inline constexpr std::array<JsonProperty<PlatformFaults>, 8> kPlatformFaults{ {
  { "down", &PlatformFaults::down },
  { "slow_ms", &PlatformFaults::slow },
  { "lose_write_answers", &PlatformFaults::loseWriteAnswers },
  { "stale", &PlatformFaults::stale },
  { "stale_ms", &PlatformFaults::staleFor },
  { "reads_per_second", &PlatformFaults::readsPerSecond },
  { "writes_per_second", &PlatformFaults::writesPerSecond },
  { "host_list_lag_ms", &PlatformFaults::hostListLag },
} };

} // namespace lacewing

#endif // STANDIN_PLATFORMFAULTS_H
