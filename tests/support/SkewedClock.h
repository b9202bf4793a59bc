#ifndef TESTS_SUPPORT_SKEWEDCLOCK_H
#define TESTS_SUPPORT_SKEWEDCLOCK_H

#include "lacewing/Clock.h"

namespace lacewing {

/** A host's clock that differs from true time by an offset and a rate. */
class SkewedClock final : public Clock
{
public:
  /** aRateError in millionths, positive for a fast clock. */
  SkewedClock(const Clock& aTrue, Duration aOffset, int aRateError)
    : true_(aTrue)
    , offset_(aOffset)
    , rateError_(aRateError)
  {
  }

  TimePoint Now() const override
  {
    constexpr Duration::rep kMillion = 1000000;
    const Duration passed = true_.Now().time_since_epoch();
    return TimePoint(passed + passed / kMillion * rateError_ + offset_);
  }

private:
  const Clock& true_;
  Duration offset_;
  int rateError_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_SKEWEDCLOCK_H
