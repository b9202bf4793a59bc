#include "gateway/LocalResponseCount.h"

#include <array>

namespace lacewing {

const LocalResponseCount& LocalResponseCountOf(LocalResponseKind aKind)
{
  static constexpr std::array<LocalResponseCount, 5> kCounts{ {
    { LocalResponseKind::kRefused, &GatewayCounters::refused, "refused" },
    { LocalResponseKind::kTimedOut, &GatewayCounters::timedOut, "timed-out" },
    { LocalResponseKind::kNoRoute, &GatewayCounters::noRoute, "no-route" },
    { LocalResponseKind::kUnknownKey,
      &GatewayCounters::unknownKey,
      "unknown-key" },
    { LocalResponseKind::kOverLimit,
      &GatewayCounters::overLimit,
      "over-limit" },
  } };
  static constexpr LocalResponseCount kUnknown{
    LocalResponseKind::kOutcomeUnknown,
    &GatewayCounters::outcomeUnknown,
    "unknown"
  };
  for (const LocalResponseCount& count : kCounts) {
    if (count.kind == aKind) {
      return count;
    }
  }
  return kUnknown;
}

} // namespace lacewing
