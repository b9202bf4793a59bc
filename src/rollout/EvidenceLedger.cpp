#include "rollout/EvidenceLedger.h"

#include "rollout/EvidenceCounts.h"

#include <algorithm>

namespace lacewing {

RolloutEvidence EvidenceLedger::Take(const std::vector<ZoneEvidence>& aZones,
                                     bool aWithFirst)
{
  RolloutEvidence growth;
  for (const ZoneEvidence& zone : aZones) {
    if (!zone.countedAt) {
      continue;
    }
    const auto [place, added] = zones_.try_emplace(zone.zone);
    const RolloutEvidence grown = GrowthOf(place->second, zone.evidence);
    AddCounts(totals_, grown);
    if (!added || aWithFirst) {
      AddCounts(growth, grown);
    }
    place->second = zone.evidence;
  }
  return growth;
}

bool EvidenceLedger::HasNewResponses() const
{
  return std::any_of(
    totals_.routes.begin(),
    totals_.routes.end(),
    [](const RouteEvidence& aRoute) { return aRoute.newCount > 0; });
}

} // namespace lacewing
