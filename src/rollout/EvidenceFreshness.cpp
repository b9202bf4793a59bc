#include "rollout/EvidenceFreshness.h"

#include <algorithm>

namespace lacewing {

bool IsFresh(TimePoint aNow, const ZoneEvidence& aZone, Duration aMaxAge)
{
  return aZone.countedAt && aNow - *aZone.countedAt <= aMaxAge;
}

bool AreFresh(TimePoint aNow,
              const std::vector<ZoneEvidence>& aZones,
              Duration aMaxAge)
{
  return !aZones.empty() && std::all_of(aZones.begin(),
                                        aZones.end(),
                                        [&](const ZoneEvidence& aZone) {
                                          return IsFresh(aNow, aZone, aMaxAge);
                                        });
}

Duration OldestAge(TimePoint aNow, const std::vector<ZoneEvidence>& aZones)
{
  Duration age{ 0 };
  for (const ZoneEvidence& zone : aZones) {
    if (zone.countedAt) {
      age = std::max(age, aNow - *zone.countedAt);
    }
  }
  return age;
}

} // namespace lacewing
