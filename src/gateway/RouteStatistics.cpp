#include "gateway/RouteStatistics.h"

#include <algorithm>

namespace lacewing {

namespace {

// Each response has the weight 1/20: about the last twenty determine the
// average.
constexpr int kAveragedResponses = 20;
// A longer latency of a target that does not report its load may be due to a
// slow or full target, so it changes the average less.
constexpr int kAveragedIfSlowed = 80;
// Until responses arrive, the service time is taken as this share of the
// latency objective.
constexpr double kInitialShare = 0.4;

} // namespace

RouteStatistics::RouteStatistics(const RouteSpec& aRoute)
  : serviceTime_(std::chrono::duration_cast<Duration>(aRoute.latencyObjective *
                                                      kInitialShare))
{
}

void RouteStatistics::OnResponse(Duration aLatency,
                                 std::optional<unsigned> aSlowdownPercent,
                                 ByteCount aBytes)
{
  const Duration serviceTime =
    aLatency * 100 / std::max(aSlowdownPercent.value_or(100), 100U);
  const bool mayBeSlowed = !aSlowdownPercent && serviceTime > serviceTime_;
  serviceTime_ += (serviceTime - serviceTime_) /
                  (mayBeSlowed ? kAveragedIfSlowed : kAveragedResponses);
  const std::int64_t change = static_cast<std::int64_t>(aBytes.value()) -
                              static_cast<std::int64_t>(responseBytes_);
  responseBytes_ = static_cast<std::uint64_t>(
    static_cast<std::int64_t>(responseBytes_) + change / kAveragedResponses);
}

} // namespace lacewing
