#ifndef DECISION_LOADREPORT_H
#define DECISION_LOADREPORT_H

#include "lacewing/Clock.h"
#include "lacewing/SlotCount.h"

namespace lacewing {

/** What a target last said of its load; it may lag or be wrong. */
struct LoadReport
{
  TimePoint time;
  /** Share of slots in use, of all entry hosts' requests. */
  double load = 0;
  /** Own requests in progress when the report came. */
  SlotCount ownInFlight;
};

} // namespace lacewing

#endif // DECISION_LOADREPORT_H
