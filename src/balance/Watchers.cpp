#include "balance/Watchers.h"

#include "balance/TargetOwner.h"

#include <map>

namespace lacewing {

namespace {

constexpr const char* kTask = "store";
constexpr unsigned kLeastWatchers = 2;

} // namespace

WatchRole WatchRoleOf(const HostId& aHost,
                      const std::vector<OwnerCandidate>& aHosts)
{
  std::map<ZoneId, std::vector<OwnerCandidate>> zones;
  const OwnerCandidate* self = nullptr;
  for (const OwnerCandidate& host : aHosts) {
    zones[host.zone].push_back(host);
    self = host.host == aHost ? &host : self;
  }
  if (self == nullptr) {
    return WatchRole::kNone;
  }
  const unsigned perZone = zones.size() < kLeastWatchers ? kLeastWatchers : 1;
  if (!IsAmongHighest(aHost, zones[self->zone], kTask, perZone)) {
    return WatchRole::kNone;
  }
  std::vector<OwnerCandidate> leaders;
  for (const auto& [zone, hosts] : zones) {
    for (const OwnerCandidate& host : hosts) {
      if (IsAmongHighest(host.host, hosts, kTask, perZone)) {
        leaders.push_back(host);
      }
    }
  }
  if (!IsAmongHighest(aHost, leaders, kTask, kMaxWatchers)) {
    return WatchRole::kNone;
  }
  return IsAmongHighest(aHost, leaders, kTask, 1) ? WatchRole::kFirst
                                                  : WatchRole::kFurther;
}

} // namespace lacewing
