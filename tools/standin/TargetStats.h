#ifndef STANDIN_TARGETSTATS_H
#define STANDIN_TARGETSTATS_H

#include "core/JsonProperty.h"

#include <array>
#include <cstdint>

namespace lacewing {

/** What a target counted since its process started. */
struct TargetStats
{
  std::uint64_t requests = 0;
  /** Requests that got a slot or a failure of fail_fast; no probes. */
  std::uint64_t runs = 0;
  std::uint64_t answered = 0;
  std::uint64_t probes = 0;
  std::uint64_t fallOvers = 0;
  std::uint64_t restarts = 0;
  std::uint64_t refusedDraining = 0;
  std::uint64_t shed = 0;
  std::uint64_t expired = 0;
  std::uint64_t refusedConnections = 0;
  std::uint64_t cancelledWaiting = 0;
  std::uint64_t cancelledRunning = 0;
  std::uint64_t highestRunning = 0;
  /** Running and waiting. */
  std::uint64_t highestInProgress = 0;
  std::uint64_t highestInProgressCold = 0;
  /** Slot time that probes used. */
  Duration probeTime{};
  /** Slot time that finished requests used. */
  Duration runTime{};
  /** Since the start of the process; zero before the first run. */
  Duration firstRun{};
  Duration lastRun{};
};

inline constexpr std::array<JsonProperty<TargetStats>, 19> kTargetStats{ {
  { "requests", &TargetStats::requests },
  { "runs", &TargetStats::runs },
  { "answered", &TargetStats::answered },
  { "probes", &TargetStats::probes },
  { "fall_overs", &TargetStats::fallOvers },
  { "restarts", &TargetStats::restarts },
  { "refused_draining", &TargetStats::refusedDraining },
  { "shed", &TargetStats::shed },
  { "expired", &TargetStats::expired },
  { "refused_connections", &TargetStats::refusedConnections },
  { "cancelled_waiting", &TargetStats::cancelledWaiting },
  { "cancelled_running", &TargetStats::cancelledRunning },
  { "highest_running", &TargetStats::highestRunning },
  { "highest_in_progress", &TargetStats::highestInProgress },
  { "highest_in_progress_cold", &TargetStats::highestInProgressCold },
  { "probe_ms", &TargetStats::probeTime },
  { "run_ms", &TargetStats::runTime },
  { "first_run_ms", &TargetStats::firstRun },
  { "last_run_ms", &TargetStats::lastRun },
} };

} // namespace lacewing

#endif // STANDIN_TARGETSTATS_H
