#ifndef BALANCE_CANDIDATE_H
#define BALANCE_CANDIDATE_H

#include "balance/FleetTarget.h"
#include "balance/LoadReading.h"
#include "balance/TargetObservations.h"

namespace lacewing {

/** A target that a request may go to, with all that is known of it. */
struct Candidate
{
  const FleetTarget* target = nullptr;
  /** The owner's reading; null when there is none. */
  const LoadReading* reading = nullptr;
  const TargetObservations* local = nullptr;
  /** A connection is open and free. */
  bool connected = false;
};

} // namespace lacewing

#endif // BALANCE_CANDIDATE_H
