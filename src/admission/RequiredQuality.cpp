#include "admission/RequiredQuality.h"

namespace lacewing {

TargetQuality RequiredQuality(bool aPressureIsHigh, bool aLeastUrgent)
{
  if (!aPressureIsHigh) {
    return TargetQuality::kAny;
  }
  return aLeastUrgent ? TargetQuality::kGood : TargetQuality::kQuiet;
}

} // namespace lacewing
