#ifndef BALANCE_TARGETOBSERVATIONS_H
#define BALANCE_TARGETOBSERVATIONS_H

#include "balance/LoadReading.h"
#include "balance/ObservedSlowdown.h"
#include "decision/DecayingValue.h"
#include "lacewing/Clock.h"

#include <optional>
#include <vector>

namespace lacewing {

/** What this host's traffic thread has observed of one target. */
class TargetObservations
{
public:
  TargetObservations();

  /** An attempt was sent to the target. */
  void OnSent(TimePoint aNow);
  /** The attempt sent at aSentAt ended, whatever its result. */
  void OnEnded(TimePoint aSentAt);

  /** A response reported the target's load. */
  void OnLoad(TimePoint aNow, const TargetLoad& aLoad);

  /** A probe that this host sent to the target has ended. */
  void OnProbe(const LoadReading& aReading);

  /** A connection failed; the target may have restarted and be cold. */
  void OnConnectionFailure(TimePoint aNow);

  /** A request failed at the target; aWeight is 1 for a full failure. */
  void OnFailure(TimePoint aNow, double aWeight);
  /** A response took aFactor times the usual service time. */
  void OnSuccess(TimePoint aNow, double aFactor);

  unsigned InFlight() const { return inFlight_; }
  TimePoint LastConnectionFailure() const { return lastConnectionFailure_; }

  /** How slow the target is, judged by this host's own requests. */
  const ObservedSlowdown& Slowdown() const { return slowdown_; }

  /** Share of recent requests that failed, 0 to 1; older ones count less. */
  double FailureShare(TimePoint aNow) const;

  /**
   * Merges the newer health and the newer load of aShared, which may be null,
   * and this host's own readings. Empty if neither has any.
   */
  std::optional<LoadReading> NewestReading(const LoadReading* aShared) const;

  /**
   * Counts the attempts sent after aTime, which a load reading of that time
   * does not include. Covers about the last second only.
   */
  unsigned SentSince(TimePoint aTime) const;

private:
  unsigned inFlight_ = 0;
  TimePoint lastConnectionFailure_;
  DecayingValue failures_;
  DecayingValue successes_;
  LoadReading own_;
  ObservedSlowdown slowdown_;
  /** Send times of recent attempts, the newest last. */
  std::vector<TimePoint> sent_;
};

} // namespace lacewing

#endif // BALANCE_TARGETOBSERVATIONS_H
