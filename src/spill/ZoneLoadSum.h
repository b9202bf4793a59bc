#ifndef SPILL_ZONELOADSUM_H
#define SPILL_ZONELOADSUM_H

#include "balance/FleetSnapshot.h"
#include "balance/LoadSnapshot.h"
#include "lacewing/Clock.h"
#include "spill/ZoneLoad.h"

#include <vector>

namespace lacewing {

/**
 * Sums the readings of the own zone's targets by service. Targets that are
 * cold, do not serve, do not report their load or have no recent reading add
 * nothing; a service without any other target is left out.
 */
std::vector<ZoneLoad> SumZoneLoads(const FleetSnapshot& aFleet,
                                   const LoadSnapshot& aLoad,
                                   TimePoint aNow);

} // namespace lacewing

#endif // SPILL_ZONELOADSUM_H
