#include "spill/DemandEstimate.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr double kHundredth = 0.01;
// Bounds of a reported slowdown; others would let one report decide alone.
constexpr double kMinSlowdown = 0.5;
constexpr double kMaxSlowdown = 10;

/** Requests that the zone of aLoad has in progress at aZone's targets. */
double SentTo(const ZoneId& aZone, const ZoneLoad& aLoad)
{
  double sent = 0;
  const std::size_t count =
    std::min(aLoad.outZones.size(), aLoad.outHundredths.size());
  for (std::size_t i = 0; i < count; ++i) {
    sent +=
      aLoad.outZones[i] == aZone ? aLoad.outHundredths[i] * kHundredth : 0;
  }
  return sent;
}

double SentOut(const ZoneLoad& aLoad)
{
  double sent = 0;
  for (const std::uint32_t amount : aLoad.outHundredths) {
    sent += amount * kHundredth;
  }
  return sent;
}

} // namespace

double InflowOf(const ZoneId& aZone, const std::vector<ZoneReport>& aReports)
{
  double inflow = 0;
  for (const ZoneReport& report : aReports) {
    inflow += report.zone == aZone ? 0 : SentTo(aZone, report.load);
  }
  return inflow;
}

std::vector<ZoneDemand> EstimateDemands(const std::vector<ZoneReport>& aReports)
{
  std::vector<ZoneDemand> demands;
  for (const ZoneReport& report : aReports) {
    const ZoneLoad& load = report.load;
    ZoneDemand demand;
    demand.requests =
      std::max(load.busy - InflowOf(report.zone, aReports), 0.0) +
      SentOut(load);
    demand.slots = load.slots;
    demand.slowdown =
      std::clamp(load.slowdownPercent * kHundredth, kMinSlowdown, kMaxSlowdown);
    demands.push_back(demand);
  }
  return demands;
}

} // namespace lacewing
