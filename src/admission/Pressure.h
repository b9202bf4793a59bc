#ifndef ADMISSION_PRESSURE_H
#define ADMISSION_PRESSURE_H

#include "decision/DecayingValue.h"
#include "lacewing/Clock.h"

namespace lacewing {

/**
 * Tracks how often recent searches for a target found none of
 * TargetQuality::kGood. When pressure is high, second attempts, filling a
 * target's last slots and sending many probes take capacity away from first
 * attempts. Answers a burst of some seconds; AdmissionTest replays one of 3 s.
 */
class Pressure
{
public:
  Pressure();

  /** A search found a good target. */
  void OnGoodTarget(TimePoint aNow);
  /** A search ended without a good target. */
  void OnNoGoodTarget(TimePoint aNow);

  bool IsHigh(TimePoint aNow) const;

private:
  DecayingValue goodSearches_;
  DecayingValue failedSearches_;
};

} // namespace lacewing

#endif // ADMISSION_PRESSURE_H
