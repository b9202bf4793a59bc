#ifndef SPILL_FLOWPLAN_H
#define SPILL_FLOWPLAN_H

#include "lacewing/Clock.h"
#include "spill/ZoneDemand.h"
#include "spill/ZoneFlow.h"

#include <vector>

namespace lacewing {

/**
 * A zone whose own demand uses less of its slots than this sends nothing out;
 * targets run at their usual speed below it.
 */
constexpr double kSpillUtilization = 0.7;

/**
 * Moves requests between zones until one more would save as much wait where it
 * leaves as it causes where it arrives, plus aCost, the cost of a request in
 * another zone. Returns the flows in the order of aZones; the sums of both
 * directions are equal. Each zone in need has the same part of each zone's
 * spare capacity as of the total, in proportion to what it sends out.
 */
std::vector<ZoneFlow> PlanFlows(const std::vector<ZoneDemand>& aZones,
                                Duration aCost);

} // namespace lacewing

#endif // SPILL_FLOWPLAN_H
