#ifndef LOAD_LOADPHASE_H
#define LOAD_LOADPHASE_H

#include "core/JsonProperty.h"

#include <array>
#include <string>

namespace lacewing {

/** A stretch of an experiment with its own load and its own results. */
struct LoadPhase
{
  std::string name;
  Duration duration = std::chrono::seconds(10);
  /** Mean requests a second over the phase. */
  double rate = 100;
  /** How arrivals are spread: "even", "poisson" or "bursts". */
  std::string shape = "poisson";
  /** With "bursts", all arrivals of a period fall into its first part. */
  Duration burstPeriod = std::chrono::seconds(1);
  Duration burst = std::chrono::milliseconds(50);
};

inline constexpr std::array<JsonProperty<LoadPhase>, 6> kPhaseProperties{ {
  { "name", &LoadPhase::name },
  { "duration_ms", &LoadPhase::duration },
  { "rate", &LoadPhase::rate },
  { "shape", &LoadPhase::shape },
  { "burst_period_ms", &LoadPhase::burstPeriod },
  { "burst_ms", &LoadPhase::burst },
} };

} // namespace lacewing

#endif // LOAD_LOADPHASE_H
