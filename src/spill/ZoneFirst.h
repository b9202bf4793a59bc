#ifndef SPILL_ZONEFIRST_H
#define SPILL_ZONEFIRST_H

#include "balance/FleetTarget.h"
#include "lacewing/ZoneId.h"

#include <vector>

namespace lacewing {

/**
 * Moves the best targets of aZone, as many as a search probes first, to the
 * front of aRanked, which has the best target first. The others keep their
 * order, so that a search which finds no room in aZone goes on as without it.
 */
void RankZoneFirst(const ZoneId& aZone,
                   std::vector<const FleetTarget*>& aRanked);

} // namespace lacewing

#endif // SPILL_ZONEFIRST_H
