#ifndef SPILL_SPILLUSAGE_H
#define SPILL_SPILLUSAGE_H

#include "lacewing/ServiceId.h"
#include "spill/ServiceUsage.h"

#include <map>

namespace lacewing {

/** Totals of the traffic thread's draws by service; immutable once published.
 */
struct SpillUsage
{
  std::map<ServiceId, ServiceUsage> services;
};

} // namespace lacewing

#endif // SPILL_SPILLUSAGE_H
