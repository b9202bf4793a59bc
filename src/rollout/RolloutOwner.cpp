#include "rollout/RolloutOwner.h"

#include "core/StableHash.h"

#include <string_view>

namespace lacewing {

namespace {

template<class Id>
const Id* Highest(const ServiceId& aService, const std::vector<Id>& aIds)
{
  const std::uint64_t seed =
    StableHash64(aService.value(), StableHash64("rollout"));
  const Id* best = nullptr;
  std::uint64_t bestRank = 0;
  for (const Id& id : aIds) {
    const std::uint64_t rank = StableHash64(id.value(), seed);
    if (best == nullptr || rank > bestRank) {
      best = &id;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace

const ZoneId* DecidingZone(const ServiceId& aService,
                           const std::vector<ZoneId>& aLive)
{
  return Highest(aService, aLive);
}

const HostId* DecidingHost(const ServiceId& aService,
                           const std::vector<HostId>& aSpeakers)
{
  return Highest(aService, aSpeakers);
}

} // namespace lacewing
