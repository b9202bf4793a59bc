#ifndef SPILL_DEMANDESTIMATE_H
#define SPILL_DEMANDESTIMATE_H

#include "spill/ZoneDemand.h"
#include "spill/ZoneReport.h"

#include <vector>

namespace lacewing {

/**
 * Estimates each zone's own demand from the reports of all zones, in their
 * order: what runs at its targets, minus what other zones report to have sent
 * there, plus what it has sent out. The estimate thus does not change when only
 * the zones' decisions do, whose effect shows in reports a second later.
 */
std::vector<ZoneDemand> EstimateDemands(
  const std::vector<ZoneReport>& aReports);

/** Requests in progress that the other zones report to have sent to aZone. */
double InflowOf(const ZoneId& aZone, const std::vector<ZoneReport>& aReports);

} // namespace lacewing

#endif // SPILL_DEMANDESTIMATE_H
