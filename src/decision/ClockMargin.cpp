#include "decision/ClockMargin.h"

namespace lacewing {

namespace {

constexpr std::int64_t kWhole = 10000;

} // namespace

Duration ClockMargin::Shorten(Duration aPeriod) const
{
  // A slow clock stretches the user's period by the rate error.
  return aPeriod - aPeriod * rateError.value() / kWhole - pause;
}

Duration ClockMargin::Lengthen(Duration aPeriod) const
{
  // Three times the rate error: the waiting side's clock may be fast, the
  // other's slow, and the product of both errors stays below the third part.
  return aPeriod + aPeriod * (3 * std::int64_t{ rateError.value() }) / kWhole +
         pause;
}

} // namespace lacewing
