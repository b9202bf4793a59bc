#ifndef ROLLOUT_ROLLOUTDECIDER_H
#define ROLLOUT_ROLLOUTDECIDER_H

#include "lacewing/Clock.h"
#include "rollout/DeciderInput.h"
#include "rollout/EvidenceLedger.h"
#include "rollout/ExposureAccount.h"
#include "rollout/ExposureBounds.h"
#include "rollout/PauseGuard.h"
#include "rollout/RolloutDecision.h"
#include "rollout/RolloutOrder.h"
#include "rollout/RolloutPlan.h"
#include "rollout/VersionComparison.h"

#include <optional>

namespace lacewing {

/**
 * Decides one order's rollout on its deciding host. A host creates one when it
 * becomes the deciding host of the order's service and drops it when it no
 * longer is. It continues at the step of the newest directive and collects its
 * own proof.
 */
class RolloutDecider
{
public:
  /** aOrderedAt is when this host, or an earlier one, read the order. */
  RolloutDecider(const RolloutOrder& aOrder,
                 ExposureBounds aBounds,
                 TimePoint aOrderedAt);

  /**
   * Decides on the newest evidence; called each 100 to 500 ms. After a longer
   * gap the host was paused, and evidence from before is not used to advance.
   */
  RolloutDecision Decide(const DeciderInput& aInput);

private:
  void Adopt(const DeciderInput& aInput);
  void TakeEvidence(const DeciderInput& aInput);

  Duration Elapsed(TimePoint aNow) const { return aNow - orderedAt_; }
  /** Whether evidence of all live zones permits an advance. */
  bool MayAdvance(const DeciderInput& aInput) const;
  /** Whether a trial may go on at its step. */
  bool MayConfirm(const DeciderInput& aInput) const;
  bool FitsExposure(BasisPoints aShare, Duration aTime) const;
  BasisPoints ShareAt(std::uint32_t aStep) const;

  /** Share that the new targets can carry without loss of capacity. */
  BasisPoints ShareCarried(const DeciderInput& aInput) const;
  std::optional<RolloutReason> ReasonToReject(const DeciderInput& aInput) const;
  /** What the next step of the trial waits for; nothing if it may begin. */
  std::optional<RolloutReason> ReasonToWait(const DeciderInput& aInput) const;

  RolloutDecision DecideTrial(const DeciderInput& aInput);
  RolloutDecision DecideProven(const DeciderInput& aInput);
  RolloutDecision Change(TimePoint aNow,
                         BasisPoints aShare,
                         RolloutVerdict aVerdict,
                         RolloutReason aReason);
  RolloutDecision Confirm(const DeciderInput& aInput, RolloutReason aReason);

  TimePoint orderedAt_;
  RolloutPlan plan_;
  ExposureAccount account_;
  VersionComparison comparison_;
  RolloutDirective current_;
  /** Why the version is rejected, once it is. */
  RolloutReason rejection_ = RolloutReason::kRejectedElsewhere;
  /** When the current step began, or when this host learned of it. */
  TimePoint stepAt_;
  EvidenceLedger ledger_;
  PauseGuard pauses_;
  /** The most slots that the old targets had since this host decides. */
  double oldSlots_ = 0;
  /** When the first response of a warm new target was seen. */
  std::optional<TimePoint> firstNewAt_;
};

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTDECIDER_H
