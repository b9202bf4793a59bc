#ifndef BALANCE_CANDIDATE_H
#define BALANCE_CANDIDATE_H

#include "balance/FleetTarget.h"
#include "balance/LoadReading.h"
#include "balance/TargetObservations.h"

namespace lacewing {

/** A target that a request may be sent to, with what is known about it. */
struct Candidate
{
  const FleetTarget* target = nullptr;
  /** The reading that the target's owner host shared; null without one. */
  const LoadReading* reading = nullptr;
  /** What this host itself has observed of the target; never null. */
  const TargetObservations* local = nullptr;
  /** This host has an open, idle connection to the target. */
  bool connected = false;
};

} // namespace lacewing

#endif // BALANCE_CANDIDATE_H
