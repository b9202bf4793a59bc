#include "balance/TargetOwner.h"

#include "core/StableHash.h"

namespace lacewing {

namespace {

std::uint64_t Rank(const HostId& aHost, std::string_view aTask)
{
  return StableHash64(aHost.value(), StableHash64(aTask));
}

} // namespace

const OwnerCandidate* OwnerOf(const TargetSpec& aTarget,
                              const std::vector<OwnerCandidate>& aHosts)
{
  const OwnerCandidate* best = nullptr;
  bool bestLocal = false;
  std::uint64_t bestRank = 0;
  for (const OwnerCandidate& host : aHosts) {
    const bool local = host.zone == aTarget.zone;
    const std::uint64_t rank = Rank(host.host, aTarget.id.value());
    if (best == nullptr || (local && !bestLocal) ||
        (local == bestLocal && rank > bestRank)) {
      best = &host;
      bestLocal = local;
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
  const std::uint64_t own = Rank(aHost, aTask);
  unsigned higher = 0;
  for (const OwnerCandidate& host : aHosts) {
    if (host.host != aHost && Rank(host.host, aTask) > own) {
      ++higher;
    }
  }
  return higher < aCount;
}

} // namespace lacewing
