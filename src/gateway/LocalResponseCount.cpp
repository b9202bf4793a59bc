#include "gateway/LocalResponseCount.h"

#include <array>

namespace lacewing {

const OwnAnswerCount& CountOf(OwnAnswerKind aKind)
{
  static constexpr std::array<OwnAnswerCount, 3> kCounts{ {
    { OwnAnswerKind::kRefused, &GatewayCounters::refused, "refused" },
    { OwnAnswerKind::kTimedOut, &GatewayCounters::timedOut, "timed-out" },
    { OwnAnswerKind::kNoRoute, &GatewayCounters::noRoute, "no-route" },
  } };
  static constexpr OwnAnswerCount kUnknown{ OwnAnswerKind::kOutcomeUnknown,
                                            &GatewayCounters::lost,
                                            "unknown" };
  for (const OwnAnswerCount& count : kCounts) {
    if (count.kind == aKind) {
      return count;
    }
  }
  return kUnknown;
}

} // namespace lacewing
