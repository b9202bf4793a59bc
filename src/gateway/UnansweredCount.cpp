#include "gateway/UnansweredCount.h"

#include <array>

namespace lacewing {

namespace {

struct CounterRow
{
  CloseReason reason;
  std::uint64_t GatewayCounters::*member;
};

// All other reasons are timeouts of this host.
constexpr std::array<CounterRow, 3> kRows{ {
  { CloseReason::kCallerClosed, &GatewayCounters::unansweredCallerGone },
  { CloseReason::kCallerReset, &GatewayCounters::unansweredCallerGone },
  { CloseReason::kStopped, &GatewayCounters::unansweredStop },
} };

} // namespace

std::uint64_t GatewayCounters::*UnansweredCounterOf(CloseReason aReason)
{
  for (const CounterRow& row : kRows) {
    if (row.reason == aReason) {
      return row.member;
    }
  }
  return &GatewayCounters::unansweredTimeout;
}

} // namespace lacewing
