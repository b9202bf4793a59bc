#include "admission/WaitLimit.h"

#include <algorithm>

namespace lacewing {

namespace {

// A request that waits for more than an eighth of its objective counts as
// delayed.
constexpr int kWaitDivisor = 8;

} // namespace

bool MayWait(TimePoint aNow,
             TimePoint aStart,
             Duration aLatencyObjective,
             TimePoint aDeadline)
{
  const TimePoint until = aStart + aLatencyObjective / kWaitDivisor;
  return aNow + kRecheckInterval <= std::min(until, aDeadline);
}

} // namespace lacewing
