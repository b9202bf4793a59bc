#ifndef ENTRY_TARGETSTATUS_H
#define ENTRY_TARGETSTATUS_H

#include "decision/TargetPhase.h"
#include "lacewing/Epoch.h"

namespace lacewing {

/** The phase of a target and the epoch that orders it. */
struct TargetStatus
{
  Epoch epoch;
  TargetPhase phase = TargetPhase::kCold;
};

} // namespace lacewing

#endif // ENTRY_TARGETSTATUS_H
