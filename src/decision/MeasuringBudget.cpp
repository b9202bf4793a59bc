#include "decision/MeasuringBudget.h"

#include <algorithm>
#include <cassert>

namespace lacewing {

namespace {

// Unused budget is kept for this time, so that probes cannot come in bursts
// after a quiet period.
constexpr Duration kSavingTime = std::chrono::seconds(10);

Duration Earned(SlotCount aSlots, BasisPoints aShare, Duration aPeriod)
{
  constexpr double kWhole = 10000;
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aPeriod.count()) *
                               aSlots.value() * aShare.value() / kWhole));
}

} // namespace

MeasuringBudget::MeasuringBudget(const Clock& aClock)
  : clock_(aClock)
{
}

void MeasuringBudget::SetTarget(const TargetId& aTarget,
                                SlotCount aSlots,
                                BasisPoints aShare)
{
  const auto [found, added] = accounts_.try_emplace(aTarget);
  Account& account = found->second;
  if (added) {
    account.counted = clock_.Now();
  } else {
    Earn(account);
  }
  account.slots = aSlots;
  account.share = aShare;
}

void MeasuringBudget::RemoveTarget(const TargetId& aTarget)
{
  accounts_.erase(aTarget);
}

bool MeasuringBudget::StartProbe(const TargetId& aTarget, Duration aLongest)
{
  const auto found = accounts_.find(aTarget);
  if (found == accounts_.end() || found->second.probing) {
    return false;
  }
  Account& account = found->second;
  account.reserved = aLongest;
  Earn(account);
  if (account.credit < aLongest) {
    return false;
  }
  account.credit -= aLongest;
  account.probing = true;
  account.started = clock_.Now();
  return true;
}

void MeasuringBudget::EndProbe(const TargetId& aTarget, bool aAnswered)
{
  const auto found = accounts_.find(aTarget);
  if (found == accounts_.end() || !found->second.probing) {
    return;
  }
  Account& account = found->second;
  account.probing = false;
  const Duration took = clock_.Now() - account.started;
  if (aAnswered && took < account.reserved) {
    account.credit += account.reserved - took;
  }
}

void MeasuringBudget::Earn(Account& aAccount) const
{
  const TimePoint now = clock_.Now();
  // The longest probe must fit, however small the share is.
  const Duration most = std::max(
    Earned(aAccount.slots, aAccount.share, kSavingTime), aAccount.reserved);
  const Duration earned =
    Earned(aAccount.slots, aAccount.share, now - aAccount.counted);
  // Calls close together earn nothing by rounding down; keep their time.
  if (earned > Duration(0)) {
    aAccount.credit =
      std::max(aAccount.credit, std::min(most, aAccount.credit + earned));
    aAccount.counted = now;
  }
  assert(aAccount.credit >= Duration(0));
}

} // namespace lacewing
