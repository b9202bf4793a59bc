#ifndef BALANCE_TARGETOBSERVATIONS_H
#define BALANCE_TARGETOBSERVATIONS_H

#include "balance/LoadReading.h"
#include "decision/DecayingValue.h"
#include "lacewing/Clock.h"

#include <optional>
#include <vector>

namespace lacewing {

/** What the traffic thread itself has seen of a target. */
class TargetObservations
{
public:
  TargetObservations();

  void OnSent(TimePoint aNow);
  void OnEnded();

  /** An answer told the load. */
  void OnLoad(TimePoint aNow, const TargetLoad& aLoad);

  /** This host probed the target itself. */
  void OnProbe(const LoadReading& aReading);

  /** A connection failed; the target may have started anew, cold. */
  void OnConnectionFailure(TimePoint aNow);

  /** A request failed there; aWeight 1 for a whole failure. */
  void OnFailure(TimePoint aNow, double aWeight);
  void OnSuccess(TimePoint aNow);

  unsigned InFlight() const { return inFlight_; }
  TimePoint LastConnectionFailure() const { return lastConnectionFailure_; }

  /** Recent failures as a share of a decaying count, 0 to 1. */
  double FailureShare(TimePoint aNow) const;

  /** The newest health and load out of aShared and what was seen here. */
  std::optional<LoadReading> NewestReading(const LoadReading* aShared) const;

  /** Requests sent after aTime, for readings that cannot show them. */
  unsigned SentSince(TimePoint aTime) const;

private:
  unsigned inFlight_ = 0;
  TimePoint lastConnectionFailure_;
  DecayingValue failures_;
  DecayingValue successes_;
  LoadReading own_;
  /** Times of recent sendings, the newest last. */
  std::vector<TimePoint> sent_;
};

} // namespace lacewing

#endif // BALANCE_TARGETOBSERVATIONS_H
