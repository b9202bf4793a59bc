#include "balance/ProbeBudget.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// The limit holds as a mean over a day, which has some tens of seconds of load
// at least. With 2 s, probes were denied in bursts of a few seconds.
constexpr double kBurstSeconds = 10;
// A host that was restarted may have used what it had before.
constexpr double kInitialSeconds = 2;
constexpr double kDebtSeconds = 1;
// With many hosts and few targets a host's rate is below one probe a second.
constexpr double kLeastBurst = 1;
constexpr double kLowShare = 0.15;

double SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

} // namespace

ProbeBudget::ProbeBudget(const ProbeLimits& aLimits,
                         const ProbeShare& aShare,
                         TimePoint aNow)
  : startedAt_(aNow)
  , updatedAt_(aNow)
  , rate_(SearchProbeRate(aLimits, aShare))
  , tokens_(0)
  , provisional_(aShare.provisional)
{
  tokens_ = std::max(kLeastBurst, rate_ * kInitialSeconds);
}

double ProbeBudget::Burst() const
{
  return std::max(kLeastBurst, rate_ * kBurstSeconds);
}

double ProbeBudget::Debt() const
{
  return std::max(kLeastBurst, rate_ * kDebtSeconds);
}

void ProbeBudget::Update(const ProbeLimits& aLimits,
                         const ProbeShare& aShare,
                         TimePoint aNow)
{
  const double before = std::exchange(rate_, SearchProbeRate(aLimits, aShare));
  // Since the last call either rate may have been the right one.
  tokens_ += SecondsBetween(updatedAt_, aNow) * std::min(before, rate_);
  updatedAt_ = std::max(updatedAt_, aNow);
  if (provisional_ && !aShare.provisional) {
    // A guess that was too low is made up for.
    provisional_ = false;
    tokens_ = std::min(tokens_,
                       Burst() + SecondsBetween(startedAt_, aNow) * rate_ -
                         sentProvisionally_);
  }
  tokens_ = std::min(tokens_, Burst());
}

bool ProbeBudget::Low() const
{
  return tokens_ < Burst() * kLowShare;
}

void ProbeBudget::Count()
{
  tokens_ -= 1;
  sentProvisionally_ += provisional_ ? 1 : 0;
}

} // namespace lacewing
