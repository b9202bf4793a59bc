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
  /** Determines the faults, the requests and their timing. */
  std::uint64_t seed = 1;
  /** Faults are injected for this long; a period without faults follows. */
  Duration length = std::chrono::seconds(12);
  /** Injects planned changes only, during which no request may be lost. */
  bool plannedOnly = false;
  std::size_t zones = 2;
  std::size_t hostsPerZone = 2;
  std::size_t serversPerZone = 3;
  std::size_t callers = 64;
  /** The program of the hosts: its name in the build folder, or its path. */
  std::string program = "lacewing-hostd";
  /** Folder for the hosts' logs of a failed run; empty to write none. */
  std::string keepLogs;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKOPTIONS_H
