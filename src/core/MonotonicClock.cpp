#include "core/MonotonicClock.h"

namespace lacewing {

TimePoint MonotonicClock::Now() const
{
  return std::chrono::steady_clock::now();
}

} // namespace lacewing
