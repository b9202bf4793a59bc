#ifndef ROLLOUT_ROLLOUTREASON_H
#define ROLLOUT_ROLLOUTREASON_H

namespace lacewing {

/** Why a rollout goes on, waits or ends. */
enum class RolloutReason
{
  /** The step changed as planned. */
  kAdvanced,
  /** The version is proven and gets as much as its targets can carry. */
  kProven,
  /** All live hosts use only the new version. */
  kAdopted,
  /** Rejected: too many bad responses. */
  kBadResponses,
  /** Rejected: not proven, or not in use alone, near the period's end. */
  kNoProofInTime,
  /** Rejected: the trial would expose more requests than allowed. */
  kExposure,
  /** Rejected by a directive of another host. */
  kRejectedElsewhere,
  /** Waits for the time at which the step may end. */
  kWaitsForTime,
  /** Waits for evidence that is fresh and from every live zone. */
  kWaitsForEvidence,
  /** Waits until the versions' responses have been compared. */
  kWaitsForProof,
  /** Waits since the next step would expose too many requests. */
  kWaitsForExposure,
  /** Waits for usable targets of the new version. */
  kWaitsForTargets,
  /** Waits for slots at targets of the new version. */
  kWaitsForRoom,
  /** Waits for hosts that have not reported the last step, or still use old
     targets. */
  kWaitsForHosts,
};

/** The reason's name in log lines. */
const char* ToString(RolloutReason aReason);

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTREASON_H
