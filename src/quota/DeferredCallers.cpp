#include "quota/DeferredCallers.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// Multiples of the golden ratio, without their whole parts, are spread evenly
// over the interval from 0 to 1 after any number of them.
constexpr double kGoldenRatio = 0.6180339887498949;

} // namespace

Duration DeferredCallers::Defer(TimePoint aNow,
                                Duration aFirst,
                                Duration aSpacing)
{
  const TimePoint at = std::max(aNow + aFirst, next_);
  if (at - aNow <= kLongest) {
    next_ = at + aSpacing;
    return at - aNow;
  }
  double whole = 0;
  const double part =
    std::modf(static_cast<double>(++count_) * kGoldenRatio, &whole);
  const std::chrono::duration<double> half(kLongest / 2);
  return std::chrono::duration_cast<Duration>(half + half * part);
}

} // namespace lacewing
