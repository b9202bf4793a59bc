#include "gateway/ProbePlan.h"

#include <utility>

namespace lacewing {

namespace {

// Number of targets probed in the first round; kMaxRounds limits the rounds.
// Two thirds to three quarters of the targets are at their usual speed at any
// moment, so two rounds find one in nearly all cases.
constexpr std::size_t kFirstRoundProbes = 2;
// Where targets report no load, further probes would tell nothing more.
constexpr std::size_t kProbesWithoutLoad = 1;
// The first target is good more often than not. A further round makes up for
// the probe that is saved.
constexpr std::size_t kSparingFirstRoundProbes = 1;
constexpr unsigned kSparingFurtherRounds = 1;
// If the first targets are full or slow, their whole availability zone may be,
// so most targets of the later rounds are in other zones.
constexpr ProbeRound kLaterRound{ 1, 2 };
constexpr unsigned kMaxRounds = 3;
constexpr unsigned kMaxRoundsUnderPressure = 2;

unsigned MaxRounds(bool aUnderPressure, bool aSparing)
{
  return (aUnderPressure ? kMaxRoundsUnderPressure : kMaxRounds) +
         (aSparing ? kSparingFurtherRounds : 0);
}

} // namespace

ProbePlan::ProbePlan(std::shared_ptr<ProbeBudget> aBudget,
                     bool aUnderPressure,
                     bool aReportsLoad)
  : budget_(std::move(aBudget))
  , reportsLoad_(aReportsLoad)
  , sparing_(budget_ && budget_->Low())
  , maxRounds_(MaxRounds(aUnderPressure, sparing_))
{
}

ProbeRound ProbePlan::NextRound()
{
  if (rounds_++ > 0) {
    return kLaterRound;
  }
  return { !reportsLoad_ ? kProbesWithoutLoad
           : sparing_    ? kSparingFirstRoundProbes
                         : kFirstRoundProbes,
           0 };
}

bool ProbePlan::Allows()
{
  const bool allowed = !budget_ || budget_->Has();
  denied_ |= !allowed;
  return allowed;
}

bool ProbePlan::MayOverdraw() const
{
  return budget_ && !overdrawn_ && budget_->MayOverdraw();
}

void ProbePlan::Count()
{
  if (budget_) {
    overdrawn_ |= !budget_->Has();
    budget_->Count();
  }
}

} // namespace lacewing
