#ifndef DECISION_LEASERANKING_H
#define DECISION_LEASERANKING_H

#include "lacewing/HostId.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewing {

/** Number of lease shards; see the design page, section 4. */
constexpr std::uint32_t kLeaseShards = 32;
/** Hosts that read a shard's lease object. */
constexpr unsigned kLeaseCandidates = 3;

/**
 * The place of aHost among the candidates of a shard by rendezvous hashing
 * over the live hosts, 0 for the first; empty when it is no candidate.
 */
std::optional<unsigned> LeaseRank(std::uint32_t aShard,
                                  const HostId& aHost,
                                  const std::vector<HostId>& aLiveHosts);

} // namespace lacewing

#endif // DECISION_LEASERANKING_H
