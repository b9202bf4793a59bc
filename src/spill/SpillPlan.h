#ifndef SPILL_SPILLPLAN_H
#define SPILL_SPILLPLAN_H

#include "lacewing/Clock.h"
#include "lacewing/ServiceId.h"
#include "spill/SpillShare.h"

#include <map>
#include <vector>

namespace lacewing {

/**
 * The requests that this host's callers send to other zones; immutable once
 * published. A service that sends none is absent.
 */
struct SpillPlan
{
  std::map<ServiceId, std::vector<SpillShare>> services;
  /** From this time on no request is sent out. */
  TimePoint validUntil;
};

} // namespace lacewing

#endif // SPILL_SPILLPLAN_H
