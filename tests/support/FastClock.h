#ifndef TESTS_SUPPORT_FASTCLOCK_H
#define TESTS_SUPPORT_FASTCLOCK_H

#include "lacewing/Clock.h"

namespace lacewing {

/** Runs a number of times as fast as the machine's monotonic clock. */
class FastClock final : public Clock
{
public:
  explicit FastClock(int aFactor)
    : factor_(aFactor)
    , start_(std::chrono::steady_clock::now())
  {
  }

  TimePoint Now() const override
  {
    const TimePoint now = std::chrono::steady_clock::now();
    return start_ + (now - start_) * factor_;
  }

private:
  int factor_;
  TimePoint start_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_FASTCLOCK_H
