#include "decision/LeaseRanking.h"

#include "core/StableHash.h"

namespace lacewing {

std::optional<unsigned> LeaseRank(std::uint32_t aShard,
                                  const HostId& aHost,
                                  const std::vector<HostId>& aLiveHosts)
{
  const std::uint64_t own = StableHash64(aHost.value(), aShard);
  unsigned before = 0;
  bool live = false;
  for (const HostId& host : aLiveHosts) {
    if (host == aHost) {
      live = true;
      continue;
    }
    const std::uint64_t other = StableHash64(host.value(), aShard);
    // Equal hashes are ordered by name so that all hosts agree.
    before += other > own || (other == own && host < aHost) ? 1 : 0;
  }
  if (!live || before >= kLeaseCandidates) {
    return std::nullopt;
  }
  return before;
}

} // namespace lacewing
