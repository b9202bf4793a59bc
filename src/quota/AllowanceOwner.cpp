#include "quota/AllowanceOwner.h"

#include "core/StableHash.h"

#include <cstdint>
#include <string>

namespace lacewing {

const HostAddress* AllowanceOwnerOf(const CustomerId& aCustomer,
                                    const std::vector<ZoneSpeakers>& aZones)
{
  const std::uint64_t task = StableHash64("quota/" + aCustomer.value());
  const ZoneSpeakers* bestZone = nullptr;
  std::uint64_t bestZoneRank = 0;
  for (const ZoneSpeakers& zone : aZones) {
    const std::uint64_t rank = StableHash64(zone.zone.value(), task);
    if (!zone.speakers.empty() &&
        (bestZone == nullptr || rank > bestZoneRank)) {
      bestZone = &zone;
      bestZoneRank = rank;
    }
  }
  if (bestZone == nullptr) {
    return nullptr;
  }
  const HostAddress* best = nullptr;
  std::uint64_t bestRank = 0;
  for (const HostAddress& speaker : bestZone->speakers) {
    const std::uint64_t rank = StableHash64(speaker.host.value(), task);
    if (best == nullptr || rank > bestRank) {
      best = &speaker;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace lacewing
