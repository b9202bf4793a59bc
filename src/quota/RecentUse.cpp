#include "quota/RecentUse.h"

#include <cmath>

namespace lacewing {

namespace {

constexpr std::chrono::duration<double> kMeanTime(1.0);

} // namespace

void RecentUse::Count(TimePoint aNow)
{
  events_ = PerSecond(aNow) * kMeanTime.count() + 1;
  at_ = aNow;
}

double RecentUse::PerSecond(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - at_;
  return events_ * std::exp(-age / kMeanTime) / kMeanTime.count();
}

} // namespace lacewing
