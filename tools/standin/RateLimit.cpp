#include "standin/RateLimit.h"

#include <algorithm>

namespace lacewing {

RateLimit::RateLimit(const Clock& aClock, double aPerSecond)
  : clock_(aClock)
  , perSecond_(aPerSecond)
  , tokens_(aPerSecond)
  , filled_(aClock.Now())
{
}

bool RateLimit::Take()
{
  const TimePoint now = clock_.Now();
  const std::chrono::duration<double> elapsed = now - filled_;
  filled_ = now;
  tokens_ = std::min(perSecond_, tokens_ + elapsed.count() * perSecond_);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void RateLimit::SetRate(double aPerSecond)
{
  perSecond_ = aPerSecond;
}

} // namespace lacewing
