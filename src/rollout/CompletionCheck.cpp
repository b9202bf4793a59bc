#include "rollout/CompletionCheck.h"

#include "rollout/EvidenceFreshness.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr Duration kUnresponsiveWait = std::chrono::seconds(4);

} // namespace

bool IsRolloutComplete(TimePoint aNow,
                       std::uint32_t aLastStep,
                       TimePoint aSince,
                       const std::vector<ZoneEvidence>& aZones,
                       unsigned aUnresponsiveHosts)
{
  if (aUnresponsiveHosts > 0 && aNow - aSince < kUnresponsiveWait) {
    return false;
  }
  return !aZones.empty() &&
         std::all_of(
           aZones.begin(), aZones.end(), [&](const ZoneEvidence& aZone) {
             return IsFresh(aNow, aZone, kEvidenceFresh) &&
                    *aZone.countedAt >= aSince &&
                    aZone.evidence.hosts >= aZone.liveHosts &&
                    aZone.evidence.step >= aLastStep &&
                    aZone.evidence.oldInFlight == 0;
           });
}

} // namespace lacewing
