#ifndef DECISION_PHASERECORD_H
#define DECISION_PHASERECORD_H

#include "decision/TargetPhase.h"
#include "lacewing/Epoch.h"
#include "lacewing/TargetId.h"

namespace lacewing {

/** Phase of one target as sent in a target_state message. */
struct PhaseRecord
{
  TargetId target;
  /** Zero for a target of which nothing is known. */
  Epoch epoch;
  TargetPhase phase = TargetPhase::kCold;
};

} // namespace lacewing

#endif // DECISION_PHASERECORD_H
