#include "quota/LocalDeferral.h"

#include <algorithm>

namespace lacewing {

namespace {

// Below this many refusals a second at this host, each request asks the owner:
// small customers must find the few tokens there are.
constexpr double kFewRefusals = 3;
// The owner's time for each host that asks: 300 hosts a second.
constexpr Duration kTimePerHost = std::chrono::microseconds(3333);
constexpr Duration kLongestPause = std::chrono::seconds(1);
// The callers that this host defers by itself are spread as if each host did
// the same, but not further apart than this: one host may have all of them.
constexpr Duration kWidestSpacing = std::chrono::milliseconds(500);

} // namespace

void LocalDeferral::OnRefused(const AllowanceAnswer& aAnswer, TimePoint aNow)
{
  refusals_.Count(aNow);
  if (refusals_.PerSecond(aNow) < kFewRefusals) {
    return;
  }
  const Duration pause =
    std::min(kTimePerHost * static_cast<int>(std::min(aAnswer.hosts, 10000U)),
             kLongestPause);
  until_ = aNow + std::min(pause, aAnswer.retryAfter);
  firstAt_ = aNow + aAnswer.retryAfter;
  spacing_ = std::min(aAnswer.spacing *
                        static_cast<int>(std::min(aAnswer.hosts, 10000U)),
                      std::max(kWidestSpacing, aAnswer.spacing));
  deferred_.Defer(aNow, aAnswer.retryAfter, spacing_);
}

std::optional<Duration> LocalDeferral::Refuse(TimePoint aNow)
{
  if (until_ <= aNow) {
    return std::nullopt;
  }
  refusals_.Count(aNow);
  return deferred_.Defer(
    aNow, std::max(firstAt_ - aNow, Duration(0)), spacing_);
}

} // namespace lacewing
