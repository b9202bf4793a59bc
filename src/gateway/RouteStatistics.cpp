#include "gateway/RouteStatistics.h"

#include <algorithm>

namespace lacewing {

namespace {

// Weight of one answer: about the last twenty answers count.
constexpr int kAnswers = 20;
// Until answers came, work is taken as this share of the latency objective.
constexpr double kFirstShare = 0.4;

} // namespace

RouteLearning::RouteLearning(const RouteSpec& aRoute)
  : work_(std::chrono::duration_cast<Duration>(aRoute.latencyObjective *
                                               kFirstShare))
{
}

void RouteLearning::OnAnswer(Duration aLatency,
                             unsigned aPercent,
                             ByteCount aBytes)
{
  const Duration work = aLatency * 100 / std::max(aPercent, 100U);
  work_ += (work - work_) / kAnswers;
  const std::int64_t change = static_cast<std::int64_t>(aBytes.value()) -
                              static_cast<std::int64_t>(bytes_);
  bytes_ = static_cast<std::uint64_t>(static_cast<std::int64_t>(bytes_) +
                                      change / kAnswers);
}

} // namespace lacewing
