#ifndef DECISION_TARGETROUTE_H
#define DECISION_TARGETROUTE_H

#include "decision/TargetPhase.h"
#include "lacewing/Endpoint.h"
#include "lacewing/Epoch.h"
#include "lacewing/TargetId.h"
#include "lacewing/ZoneId.h"

namespace lacewing {

/** A target that may take new work. */
struct TargetRoute
{
  TargetId id;
  Endpoint endpoint;
  ZoneId zone;
  TargetPhase phase = TargetPhase::kCold;
  /** Orders changes of phase; a sign of coldness starts a new epoch. */
  Epoch epoch;
};

} // namespace lacewing

#endif // DECISION_TARGETROUTE_H
