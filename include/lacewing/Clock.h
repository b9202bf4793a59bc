#ifndef LACEWING_CLOCK_H
#define LACEWING_CLOCK_H

#include <chrono>

namespace lacewing {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Monotonic time; passed to everything that measures time. */
class Clock
{
public:
  virtual ~Clock() = default;

  virtual TimePoint Now() const = 0;
};

} // namespace lacewing

#endif // LACEWING_CLOCK_H
