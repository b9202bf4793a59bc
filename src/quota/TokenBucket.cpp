#include "quota/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// Sums of fractions may miss a whole token by a rounding error.
constexpr double kRounding = 1e-9;
// Longest time that the bucket reports; avoids overflow at tiny rates.
constexpr double kLongestSeconds = 3600;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void TokenBucket::SetLimit(double aPerSecond, double aCapacity, TimePoint aNow)
{
  Refill(aNow);
  perSecond_ = aPerSecond;
  capacity_ = aCapacity;
  level_ = std::min(level_, capacity_);
}

void TokenBucket::Refill(TimePoint aNow)
{
  if (aNow > at_) {
    level_ = std::min(capacity_, level_ + Seconds(aNow - at_) * perSecond_);
    at_ = aNow;
  }
}

void TokenBucket::Skip(TimePoint aNow, Duration aOther)
{
  level_ = std::max(0.0, level_ - Seconds(aOther) * perSecond_);
  at_ = std::max(at_, aNow);
}

TokenCount TokenBucket::Whole() const
{
  return TokenCount(static_cast<std::uint32_t>(
    std::clamp(std::floor(level_ + kRounding), 0.0, 1e9)));
}

void TokenBucket::Take(TokenCount aCount)
{
  level_ = std::max(0.0, level_ - aCount.value());
}

void TokenBucket::Put(TokenCount aCount)
{
  level_ = std::min(capacity_, level_ + aCount.value());
}

Duration TokenBucket::TimeUntilToken() const
{
  if (Whole() > TokenCount(0)) {
    return Duration(0);
  }
  const double seconds =
    perSecond_ > 0 ? (1 - level_) / perSecond_ : kLongestSeconds;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, kLongestSeconds)));
}

} // namespace lacewing
