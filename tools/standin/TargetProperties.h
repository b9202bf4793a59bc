#ifndef STANDIN_TARGETPROPERTIES_H
#define STANDIN_TARGETPROPERTIES_H

#include "core/JsonProperty.h"

#include <array>
#include <cstdint>
#include <string>

namespace lacewing {

/** Behaviour of one target; each property can be changed at run time. */
struct TargetProperties
{
  SlotCount slots{ 6 };
  /** A connection beyond the limit is dropped at its first request. */
  ConnectionCount maxConnections{ 250 };
  /** Wait of the first request on a new connection. */
  Duration connectCost = std::chrono::milliseconds(1);
  Duration probeCost = std::chrono::milliseconds(6);
  /** Name of the distribution: "fixed", "exponential" or "lognormal". */
  std::string serviceTime = "fixed";
  /** Mean service time, also of the distributions. */
  Duration service = std::chrono::milliseconds(5);
  /** Standard deviation of the logarithm for "lognormal". */
  double sigma = 0.5;
  double slowFactor = 1;
  std::uint64_t seed = 1;
  /** Length of a cold start; zero for a target that starts warm. */
  Duration cold{};
  /** Requests in progress, probes included, that a cold target can bear. */
  SlotCount coldLimit{ 1 };
  bool draining = false;
  /** Requests that may wait for a slot before the target sheds load. */
  std::uint32_t maxWaiting = 1000;
  /** Age of the load that Target-Load shows. */
  Duration reportLag{};
  /** Given, Target-Load shows this text instead of the load. */
  std::string reportLoad;
  /** Answers 500 at once. */
  bool failFast = false;
  /** Closes the connection without an answer when a request gets a slot. */
  bool closeAfterRead = false;
  /** Given, each answer comes once more after this time; then it closes. */
  Duration lateAnswer{};
};

inline constexpr std::array<JsonProperty<TargetProperties>, 18>
  kTargetProperties{ {
    { "slots", &TargetProperties::slots },
    { "max_connections", &TargetProperties::maxConnections },
    { "connect_ms", &TargetProperties::connectCost },
    { "probe_ms", &TargetProperties::probeCost },
    { "service_time", &TargetProperties::serviceTime },
    { "service_ms", &TargetProperties::service },
    { "sigma", &TargetProperties::sigma },
    { "slow_factor", &TargetProperties::slowFactor },
    { "seed", &TargetProperties::seed },
    { "cold_ms", &TargetProperties::cold },
    { "cold_limit", &TargetProperties::coldLimit },
    { "draining", &TargetProperties::draining },
    { "max_waiting", &TargetProperties::maxWaiting },
    { "report_lag_ms", &TargetProperties::reportLag },
    { "report_load", &TargetProperties::reportLoad },
    { "fail_fast", &TargetProperties::failFast },
    { "close_after_read", &TargetProperties::closeAfterRead },
    { "late_answer_ms", &TargetProperties::lateAnswer },
  } };

} // namespace lacewing

#endif // STANDIN_TARGETPROPERTIES_H
