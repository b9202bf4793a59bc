#include "balance/Watchers.h"

#include "balance/TargetOwner.h"

#include <map>

namespace lacewing {

namespace {

constexpr const char* kTask = "store";
constexpr unsigned kLeastWatchers = 2;

} // namespace

bool IsWatcher(const HostId& aHost, const std::vector<OwnerCandidate>& aHosts)
{
  std::map<ZoneId, std::vector<OwnerCandidate>> zones;
  const OwnerCandidate* self = nullptr;
  for (const OwnerCandidate& host : aHosts) {
    zones[host.zone].push_back(host);
    self = host.host == aHost ? &host : self;
  }
  if (self == nullptr) {
    return false;
  }
  const unsigned perZone = zones.size() < kLeastWatchers ? kLeastWatchers : 1;
  if (!IsAmongHighest(aHost, zones[self->zone], kTask, perZone)) {
    return false;
  }
  std::vector<OwnerCandidate> leaders;
  for (const auto& [zone, hosts] : zones) {
    for (const OwnerCandidate& host : hosts) {
      if (IsAmongHighest(host.host, hosts, kTask, perZone)) {
        leaders.push_back(host);
      }
    }
  }
  return IsAmongHighest(aHost, leaders, kTask, kMaxWatchers);
}

} // namespace lacewing
