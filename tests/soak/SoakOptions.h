#ifndef TESTS_SOAK_SOAKOPTIONS_H
#define TESTS_SOAK_SOAKOPTIONS_H

#include "lacewing/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lacewing {

/** Size and length of one soak run. */
struct SoakOptions
{
  /** Decides faults, callers and their times. */
  std::uint64_t seed = 1;
  /** Faults strike for this long; a calm time follows. */
  Duration length = std::chrono::seconds(12);
  /** Only planned changes, around which nothing may be lost. */
  bool plannedOnly = false;
  std::size_t zones = 2;
  std::size_t hostsPerZone = 2;
  std::size_t serversPerZone = 3;
  std::size_t callers = 48;
  /** Where the hosts' logs go when the run fails; empty for nowhere. */
  std::string keepLogs;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKOPTIONS_H
