#include "balance/TargetOwner.h"

#include "core/StableHash.h"

#include <map>

namespace lacewing {

namespace {

std::uint64_t Rank(std::string_view aName, std::string_view aTask)
{
  return StableHash64(aName, StableHash64(aTask));
}

} // namespace

const ZoneId* OwnerZone(const TargetSpec& aTarget,
                        const std::vector<ZoneId>& aAlive)
{
  const ZoneId* best = nullptr;
  std::uint64_t bestRank = 0;
  for (const ZoneId& zone : aAlive) {
    if (zone == aTarget.zone) {
      return &zone;
    }
    const std::uint64_t rank = Rank(zone.value(), aTarget.id.value());
    if (best == nullptr || rank > bestRank) {
      best = &zone;
      bestRank = rank;
    }
  }
  return best;
}

const OwnerCandidate* OwnerOf(const TargetSpec& aTarget,
                              const std::vector<OwnerCandidate>& aZoneHosts)
{
  const OwnerCandidate* best = nullptr;
  std::uint64_t bestRank = 0;
  for (const OwnerCandidate& host : aZoneHosts) {
    const std::uint64_t rank = Rank(host.host.value(), aTarget.id.value());
    if (best == nullptr || rank > bestRank) {
      best = &host;
      bestRank = rank;
    }
  }
  return best;
}

bool IsAmongHighest(const HostId& aHost,
                    const std::vector<OwnerCandidate>& aHosts,
                    const char* aTask,
                    unsigned aCount)
{
  const std::uint64_t own = Rank(aHost.value(), aTask);
  unsigned higher = 0;
  for (const OwnerCandidate& host : aHosts) {
    if (host.host != aHost && Rank(host.host.value(), aTask) > own) {
      ++higher;
    }
  }
  return higher < aCount;
}

std::set<HostId> HighestHosts(const std::vector<OwnerCandidate>& aHosts,
                              const char* aTask,
                              unsigned aCount)
{
  std::multimap<std::uint64_t, const HostId*> highest;
  for (const OwnerCandidate& host : aHosts) {
    highest.emplace(Rank(host.host.value(), aTask), &host.host);
    if (highest.size() > aCount) {
      highest.erase(highest.begin());
    }
  }
  std::set<HostId> hosts;
  for (const auto& [rank, host] : highest) {
    hosts.insert(*host);
  }
  return hosts;
}

} // namespace lacewing
