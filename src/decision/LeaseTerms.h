#ifndef DECISION_LEASETERMS_H
#define DECISION_LEASETERMS_H

#include "decision/ClockMargin.h"
#include "lacewing/Clock.h"

namespace lacewing {

/** Times of a lease, equal on all hosts. */
struct LeaseTerms
{
  Duration leaseTime = std::chrono::seconds(10);
  /** Period of the holder's writes and of the candidates' reads. */
  Duration renewTime = std::chrono::seconds(3);
  /** Pause after a store call that failed. */
  Duration retryTime = std::chrono::milliseconds(500);
  /** A candidate of rank N waits N times this longer before a take-over. */
  Duration rankDelay = std::chrono::milliseconds(500);
  ClockMargin margin;
};

} // namespace lacewing

#endif // DECISION_LEASETERMS_H
