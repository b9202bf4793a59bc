#include "decision/DecayingValue.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

double DecayingValue::At(TimePoint aNow) const
{
  // What is left after this many half-lives, less than a thousandth, counts
  // as nothing; most values are at rest and cost no power function.
  constexpr int kMostHalfLives = 10;
  if (value_ == 0 || aNow - time_ > kMostHalfLives * halfLife_) {
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
