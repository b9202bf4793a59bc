#include "decision/DecayingValue.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

double DecayingValue::At(TimePoint aNow) const
{
  if (value_ == 0) {
    return 0;
  }
  return value_ * std::exp2(-std::chrono::duration<double>(aNow - time_) /
                            std::chrono::duration<double>(halfLife_));
}

void DecayingValue::Add(TimePoint aNow, double aAmount, double aMost)
{
  Set(aNow, std::min(aMost, At(aNow) + aAmount));
}

void DecayingValue::Set(TimePoint aNow, double aValue)
{
  time_ = aNow;
  value_ = aValue;
}

} // namespace lacewing
