#include "decision/RequestTimers.h"

namespace lacewing {

void RequestTimers::Add(TimePoint aDue, RequestId aRequest)
{
  timers_.emplace(aDue, aRequest);
}

void RequestTimers::Remove(TimePoint aDue, RequestId aRequest)
{
  timers_.erase({ aDue, aRequest });
}

std::optional<TimePoint> RequestTimers::Next() const
{
  if (timers_.empty()) {
    return std::nullopt;
  }
  return timers_.begin()->first;
}

std::optional<RequestId> RequestTimers::Due(TimePoint aNow) const
{
  if (timers_.empty() || aNow < timers_.begin()->first) {
    return std::nullopt;
  }
  return timers_.begin()->second;
}

} // namespace lacewing
