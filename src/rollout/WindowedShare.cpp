#include "rollout/WindowedShare.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// A service without any bad response may still have some: with less, the first
// bad responses of a good version would reject it.
constexpr double kFloor = 0.01;
// Attempts at which a measured share weighs as much as the floor.
constexpr double kPriorCount = 20;

} // namespace

WindowedShare::WindowedShare(Duration aWindow)
  : window_(aWindow)
{
}

double WindowedShare::Weight(TimePoint aNow) const
{
  return std::exp(-std::chrono::duration<double>(aNow - at_) /
                  std::chrono::duration<double>(window_));
}

void WindowedShare::Add(TimePoint aNow, double aCount, double aBad)
{
  const double weight = Weight(aNow);
  count_ = count_ * weight + aCount;
  bad_ = bad_ * weight + aBad;
  at_ = aNow;
}

double WindowedShare::Share() const
{
  return ShrunkShare(count_, bad_);
}

double WindowedShare::CountAt(TimePoint aNow) const
{
  return count_ * Weight(aNow);
}

double ShrunkShare(double aCount, double aBad)
{
  return std::max(kFloor,
                  (aBad + kFloor * kPriorCount) / (aCount + kPriorCount));
}

} // namespace lacewing
