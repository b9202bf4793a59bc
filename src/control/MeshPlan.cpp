#include "control/MeshPlan.h"

#include "core/StableHash.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

constexpr std::uint64_t kZoneRings = 2;
constexpr std::uint64_t kGlobalRings = 3;

/** Adds the two neighbours of aSelf on the ring of aHosts ordered by aKey. */
template<class Key>
void AddNeighbours(std::vector<HostId> aHosts,
                   const HostId& aSelf,
                   Key aKey,
                   std::set<HostId>& aPeers)
{
  if (aHosts.size() < 2) {
    return;
  }
  std::sort(aHosts.begin(),
            aHosts.end(),
            [&](const HostId& aLeft, const HostId& aRight) {
              return std::make_pair(aKey(aLeft), aLeft) <
                     std::make_pair(aKey(aRight), aRight);
            });
  const auto self = std::find(aHosts.begin(), aHosts.end(), aSelf);
  const auto next =
    std::next(self) == aHosts.end() ? aHosts.begin() : std::next(self);
  const auto previous =
    self == aHosts.begin() ? std::prev(aHosts.end()) : std::prev(self);
  aPeers.insert(*next);
  aPeers.insert(*previous);
}

} // namespace

std::set<HostId> PlanMesh(const MemberTable& aMembers,
                          const ControlTerms& aTerms)
{
  const HostId self = aMembers.Self().entry.host;
  std::vector<HostId> hosts;
  std::vector<HostId> zone;
  for (const auto& [id, member] : aMembers.All()) {
    const MemberState state = member.entry.state;
    if (id == self || state == MemberState::kLive ||
        state == MemberState::kSuspect) {
      hosts.push_back(id);
      if (member.entry.zone == aMembers.Self().entry.zone) {
        zone.push_back(id);
      }
    }
  }
  std::set<HostId> peers;
  if (hosts.size() <= aTerms.fullMeshHosts) {
    peers.insert(hosts.begin(), hosts.end());
  } else {
    AddNeighbours(
      hosts, self, [](const HostId&) { return 0; }, peers);
    const auto hashed = [](std::uint64_t aSeed) {
      return [aSeed](const HostId& aHost) {
        return StableHash64(aHost.value(), aSeed);
      };
    };
    for (std::uint64_t ring = 1; ring <= kZoneRings + kGlobalRings; ++ring) {
      AddNeighbours(
        ring <= kZoneRings ? zone : hosts, self, hashed(ring), peers);
    }
  }
  peers.erase(self);
  return peers;
}

bool IsAmongFirst(const HostId& aHost,
                  const std::vector<HostId>& aHosts,
                  unsigned aCount,
                  const std::string& aPurpose)
{
  const std::uint64_t seed = StableHash64(aPurpose);
  const auto weight = [seed](const HostId& aAny) {
    return std::make_pair(StableHash64(aAny.value(), seed), aAny);
  };
  const auto before =
    std::count_if(aHosts.begin(), aHosts.end(), [&](const HostId& aOther) {
      return weight(aHost) < weight(aOther);
    });
  return before < static_cast<std::ptrdiff_t>(aCount);
}

} // namespace lacewing
