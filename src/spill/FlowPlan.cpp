#include "spill/FlowPlan.h"

#include "spill/WaitCurve.h"

#include <algorithm>

namespace lacewing {

namespace {

// The usual service time, as in ChoiceContext; only its ratio to the price of a
// request in another zone matters.
constexpr double kServiceSeconds = 0.2;
// Halvings of the range of marginal costs; the rest is below a millisecond.
constexpr int kHalvings = 24;
// Marginal costs beyond this are those of full targets.
constexpr double kMaxUtilization = 0.99;

/** The utilization at which one more request costs aSeconds in the zone. */
double LevelOf(const ZoneDemand& aZone, double aSeconds)
{
  return UtilizationAt(aSeconds / (kServiceSeconds * aZone.slowdown) - 1);
}

/** The requests that leave the zone where one more costs aSeconds. */
double OutAt(const ZoneDemand& aZone, double aSeconds)
{
  const double level = std::max(LevelOf(aZone, aSeconds), kSpillUtilization);
  return std::max(aZone.requests - level * aZone.slots, 0.0);
}

double InAt(const ZoneDemand& aZone, double aSeconds)
{
  return std::max(LevelOf(aZone, aSeconds) * aZone.slots - aZone.requests, 0.0);
}

double Sum(const std::vector<ZoneDemand>& aZones,
           double aSeconds,
           double (*aFlow)(const ZoneDemand&, double))
{
  double sum = 0;
  for (const ZoneDemand& zone : aZones) {
    sum += aFlow(zone, aSeconds);
  }
  return sum;
}

} // namespace

std::vector<ZoneFlow> PlanFlows(const std::vector<ZoneDemand>& aZones,
                                Duration aCost)
{
  const double cost = std::chrono::duration<double>(aCost).count();
  double low = 0;
  double high = cost;
  for (const ZoneDemand& zone : aZones) {
    high = std::max(high,
                    cost + kServiceSeconds * zone.slowdown *
                             (1 + MarginalWait(kMaxUtilization)));
  }
  for (int i = 0; i < kHalvings; ++i) {
    const double middle = (low + high) / 2;
    const bool tooMany =
      Sum(aZones, middle, &OutAt) > Sum(aZones, middle - cost, &InAt);
    (tooMany ? low : high) = middle;
  }
  const double out = Sum(aZones, high, &OutAt);
  const double in = Sum(aZones, high - cost, &InAt);
  const double moved = std::min(out, in);
  std::vector<ZoneFlow> flows;
  for (const ZoneDemand& zone : aZones) {
    ZoneFlow flow;
    if (moved > 0) {
      flow.out = OutAt(zone, high) * moved / out;
      flow.in = InAt(zone, high - cost) * moved / in;
    }
    flows.push_back(flow);
  }
  return flows;
}

} // namespace lacewing
