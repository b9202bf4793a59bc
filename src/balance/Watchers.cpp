#include "balance/Watchers.h"

#include "balance/TargetOwner.h"
#include "core/StableHash.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr const char* kTask = "store";

bool Contains(const std::vector<OwnerCandidate>& aHosts, const HostId& aHost)
{
  return std::any_of(
    aHosts.begin(), aHosts.end(), [&](const OwnerCandidate& aEach) {
      return aEach.host == aHost;
    });
}

/** How many of the zones rank above aZone. */
unsigned ZonesAbove(const ZoneId& aZone, const std::vector<ZoneId>& aZones)
{
  const std::uint64_t seed = StableHash64(kTask);
  const std::uint64_t own = StableHash64(aZone.value(), seed);
  return static_cast<unsigned>(
    std::count_if(aZones.begin(), aZones.end(), [&](const ZoneId& aEach) {
      return StableHash64(aEach.value(), seed) > own;
    }));
}

} // namespace

WatchRole WatchRoleOf(const OwnerCandidate& aSelf,
                      const std::vector<OwnerCandidate>& aZoneHosts,
                      const std::vector<ZoneId>& aOtherZones)
{
  const unsigned watchersPerZone = aOtherZones.empty() ? 2 : 1;
  const unsigned above = ZonesAbove(aSelf.zone, aOtherZones);
  if (!Contains(aZoneHosts, aSelf.host) ||
      !IsAmongHighest(aSelf.host, aZoneHosts, kTask, watchersPerZone) ||
      above >= kMaxWatchers) {
    return WatchRole::kNone;
  }
  return above == 0 && IsAmongHighest(aSelf.host, aZoneHosts, kTask, 1)
           ? WatchRole::kPrimary
           : WatchRole::kStandby;
}

} // namespace lacewing
