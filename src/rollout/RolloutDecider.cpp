#include "rollout/RolloutDecider.h"

#include "rollout/CanarySubset.h"
#include "rollout/CarriedShare.h"
#include "rollout/CompletionCheck.h"
#include "rollout/DirectivePrecedence.h"
#include "rollout/EvidenceFreshness.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr BasisPoints kFullShare{ 10000 };
// Probability of taking a bad version for a good one.
constexpr double kProofErrorRate = 0.001;
// The same for a further step of the trial. The exposure account limits the
// harm of an error, while a stricter rate (0.05) would make a single bad
// response on a third of the traffic delay a good version by 1.7 s.
constexpr double kStepErrorRate = 0.3;
// Without evidence for this time a trial is left to expire.
constexpr Duration kConfirmAge = std::chrono::seconds(3);
// Time from a decision to its effect on all hosts.
constexpr Duration kReaction = std::chrono::milliseconds(500);
// Smaller changes of a proven version's share are not worth a step.
constexpr unsigned kMinShareChange = 500;

// The old targets stop when the order is completed. With less than this part of
// their slots at the new ones, a service that lost a third of the targets of
// both versions refused a quarter of its requests for the rest of the day.
constexpr double kKeptCapacity = 0.8;
// CarriedShare leaves a fifth of the slots free.
constexpr double kUsableSlots = 0.8;

double Fraction(BasisPoints aShare)
{
  return static_cast<double>(aShare.value()) / kFullShare.value();
}

/** Age of the evidence, as far as it counts for the exposure. */
Duration AgeOf(const DeciderInput& aInput)
{
  return std::min(kConfirmAge, OldestAge(aInput.now, aInput.zones));
}

} // namespace

RolloutDecider::RolloutDecider(const RolloutOrder& aOrder,
                               ExposureBounds aBounds,
                               TimePoint aOrderedAt)
  : orderedAt_(aOrderedAt)
  , plan_(aOrder.period)
  , account_(aBounds, aOrder.period)
  , stepAt_(aOrderedAt)
{
  current_.order = aOrder.id;
}

RolloutDecision RolloutDecider::Decide(const DeciderInput& aInput)
{
  pauses_.OnCall(aInput.now);
  Adopt(aInput);
  TakeEvidence(aInput);
  oldSlots_ = std::max<double>(oldSlots_, aInput.oldTargets.slots.value());
  if (current_.Verdict() == RolloutVerdict::kRejected) {
    return Confirm(aInput, rejection_);
  }
  if (current_.Verdict() == RolloutVerdict::kAdopted) {
    return Confirm(aInput, RolloutReason::kAdopted);
  }
  if (aInput.now < pauses_.UsableFrom()) {
    // Another host may have decided meanwhile.
    return { std::nullopt, false, RolloutReason::kWaitsForEvidence, {} };
  }
  if (const auto reason = ReasonToReject(aInput)) {
    rejection_ = *reason;
    RolloutDecision decision =
      Change(aInput.now, BasisPoints(0), RolloutVerdict::kRejected, *reason);
    decision.badRoute = comparison_.BadRoute();
    return decision;
  }
  return IsProven(current_.Verdict()) ? DecideProven(aInput)
                                      : DecideTrial(aInput);
}

void RolloutDecider::Adopt(const DeciderInput& aInput)
{
  if (!aInput.known) {
    return;
  }
  orderedAt_ = std::min(orderedAt_, aInput.now - aInput.known->elapsed);
  if (TakesPrecedence(*aInput.known, current_)) {
    current_ = *aInput.known;
    stepAt_ = aInput.now;
  }
}

void RolloutDecider::TakeEvidence(const DeciderInput& aInput)
{
  const RolloutEvidence growth = ledger_.Take(aInput.zones, current_.step == 0);
  if (!firstNewAt_ && ledger_.HasNewResponses()) {
    firstNewAt_ = aInput.now - AgeOf(aInput);
  }
  account_.OnTotals(std::max(Duration(0), Elapsed(aInput.now) - AgeOf(aInput)),
                    ledger_.Totals().requests,
                    ledger_.Totals().newAttempts);
  comparison_.OnGrowth(aInput.now,
                       growth,
                       CanaryCount(current_, aInput.newTargets.targets),
                       current_.shareBasisPoints < kFullShare.value());
}

bool RolloutDecider::MayAdvance(const DeciderInput& aInput) const
{
  return AreFresh(aInput.now, aInput.zones, kEvidenceFresh) &&
         std::all_of(aInput.zones.begin(),
                     aInput.zones.end(),
                     [&](const ZoneEvidence& aZone) {
                       return *aZone.countedAt >= pauses_.UsableFrom() &&
                              aZone.evidence.hosts >= aZone.liveHosts;
                     });
}

bool RolloutDecider::MayConfirm(const DeciderInput& aInput) const
{
  return current_.shareBasisPoints == 0 || IsProven(current_.Verdict()) ||
         AreFresh(aInput.now, aInput.zones, kConfirmAge);
}

bool RolloutDecider::FitsExposure(BasisPoints aShare, Duration aTime) const
{
  return account_.After(aTime, Fraction(aShare)) <= account_.Allowed();
}

BasisPoints RolloutDecider::ShareAt(std::uint32_t aStep) const
{
  return plan_.ShareAt(aStep, account_.ExpectedRequests(), account_.Allowed());
}

BasisPoints RolloutDecider::ShareCarried(const DeciderInput& aInput) const
{
  return CarriedShare(
    aInput.newTargets,
    std::max(aInput.busySlots, kUsableSlots * kKeptCapacity * oldSlots_));
}

std::optional<RolloutReason> RolloutDecider::ReasonToReject(
  const DeciderInput& aInput) const
{
  const bool proven = IsProven(current_.Verdict());
  if (comparison_.BadRoute()) {
    return RolloutReason::kBadResponses;
  }
  // A proven version that waits for room goes on beside the old one.
  if (Elapsed(aInput.now) >= plan_.Deadline() && !proven) {
    return RolloutReason::kNoProofInTime;
  }
  if (!proven && current_.shareBasisPoints > 0 &&
      !FitsExposure(BasisPoints(current_.shareBasisPoints),
                    AgeOf(aInput) + kReaction)) {
    return RolloutReason::kExposure;
  }
  return std::nullopt;
}

std::optional<RolloutReason> RolloutDecider::ReasonToWait(
  const DeciderInput& aInput) const
{
  const std::uint32_t step = current_.step;
  if (aInput.newTargets.targets == 0) {
    return RolloutReason::kWaitsForTargets;
  }
  if (!MayAdvance(aInput) || account_.RatePerSecond() <= 0) {
    return RolloutReason::kWaitsForEvidence;
  }
  if (step == 0) {
    return std::nullopt;
  }
  if (!firstNewAt_) {
    return RolloutReason::kWaitsForProof;
  }
  if (Elapsed(aInput.now) <
      plan_.EndOf(step, Elapsed(stepAt_), Elapsed(*firstNewAt_))) {
    return RolloutReason::kWaitsForTime;
  }
  const bool last = step >= RolloutPlan::kTrialSteps;
  if (!comparison_.Accepts(last ? kProofErrorRate : kStepErrorRate)) {
    return RolloutReason::kWaitsForProof;
  }
  const Duration time = AgeOf(aInput) + plan_.LengthOf(step + 1) + kReaction;
  if (!last && !FitsExposure(ShareAt(step + 1), time)) {
    return RolloutReason::kWaitsForExposure;
  }
  return std::nullopt;
}

RolloutDecision RolloutDecider::DecideTrial(const DeciderInput& aInput)
{
  if (const auto reason = ReasonToWait(aInput)) {
    return Confirm(aInput, *reason);
  }
  if (current_.step < RolloutPlan::kTrialSteps) {
    return Change(aInput.now,
                  ShareAt(current_.step + 1),
                  RolloutVerdict::kTrial,
                  RolloutReason::kAdvanced);
  }
  return Change(
    aInput.now,
    std::max(BasisPoints(current_.shareBasisPoints), ShareCarried(aInput)),
    RolloutVerdict::kProven,
    RolloutReason::kProven);
}

RolloutDecision RolloutDecider::DecideProven(const DeciderInput& aInput)
{
  if (current_.shareBasisPoints < kFullShare.value()) {
    const BasisPoints share = ShareCarried(aInput);
    const bool grows =
      share == kFullShare ||
      share.value() >= current_.shareBasisPoints + kMinShareChange;
    return grows && MayAdvance(aInput)
             ? Change(aInput.now,
                      share,
                      RolloutVerdict::kProven,
                      RolloutReason::kAdvanced)
             : Confirm(aInput, RolloutReason::kWaitsForRoom);
  }
  if (!MayAdvance(aInput) || !IsRolloutComplete(aInput.now,
                                                current_.step,
                                                stepAt_,
                                                aInput.zones,
                                                aInput.unresponsiveHosts)) {
    return Confirm(aInput, RolloutReason::kWaitsForHosts);
  }
  return Change(
    aInput.now, kFullShare, RolloutVerdict::kAdopted, RolloutReason::kAdopted);
}

RolloutDecision RolloutDecider::Change(TimePoint aNow,
                                       BasisPoints aShare,
                                       RolloutVerdict aVerdict,
                                       RolloutReason aReason)
{
  ++current_.step;
  current_.shareBasisPoints = aShare.value();
  current_.verdict = static_cast<std::uint32_t>(aVerdict);
  current_.elapsed = Elapsed(aNow);
  current_.age = Duration(0);
  stepAt_ = aNow;
  return { current_, true, aReason, std::nullopt };
}

RolloutDecision RolloutDecider::Confirm(const DeciderInput& aInput,
                                        RolloutReason aReason)
{
  if (!MayConfirm(aInput)) {
    return { std::nullopt, false, aReason, std::nullopt };
  }
  current_.elapsed = Elapsed(aInput.now);
  current_.age = Duration(0);
  return { current_, false, aReason, std::nullopt };
}

} // namespace lacewing
