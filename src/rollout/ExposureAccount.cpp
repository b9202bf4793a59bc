#include "rollout/ExposureAccount.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr double kUsablePart = 0.8;
// A shorter time gives no rate.
constexpr Duration kMinRateTime = std::chrono::milliseconds(500);

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

ExposureAccount::ExposureAccount(ExposureBounds aBounds, Duration aPeriod)
  : bounds_(aBounds)
  , period_(aPeriod)
{
}

void ExposureAccount::OnTotals(Duration aElapsed,
                               double aRequests,
                               double aNewAttempts)
{
  if (aRequests <= 0) {
    return;
  }
  if (!firstElapsed_) {
    firstElapsed_ = aElapsed;
    firstRequests_ = aRequests;
  }
  elapsed_ = aElapsed;
  requests_ = aRequests;
  newAttempts_ = aNewAttempts;
}

double ExposureAccount::Allowed() const
{
  return kUsablePart * (bounds_.share * ExpectedRequests() + bounds_.slack);
}

double ExposureAccount::After(Duration aTime, double aShare) const
{
  return newAttempts_ + aShare * RatePerSecond() * Seconds(aTime);
}

double ExposureAccount::RatePerSecond() const
{
  const Duration time = elapsed_ - firstElapsed_.value_or(elapsed_);
  return time >= kMinRateTime ? (requests_ - firstRequests_) / Seconds(time)
                              : 0;
}

double ExposureAccount::ExpectedRequests() const
{
  return requests_ +
         RatePerSecond() * std::max(0.0, Seconds(period_) - Seconds(elapsed_));
}

} // namespace lacewing
