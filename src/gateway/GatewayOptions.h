#ifndef GATEWAY_GATEWAYOPTIONS_H
#define GATEWAY_GATEWAYOPTIONS_H

#include "balance/ProbeLimits.h"
#include "balance/RetryLimits.h"
#include "core/SnapshotCell.h"
#include "gateway/HeaderNames.h"
#include "lacewing/ByteCount.h"
#include "lacewing/Endpoint.h"
#include "spill/SpillUsage.h"

#include <cstdint>
#include <memory>

namespace lacewing {

/** Options of a host's traffic thread. */
struct GatewayOptions
{
  /** Address and port that callers connect to. */
  Endpoint front;
  HeaderNames names;
  RetryLimits retries;
  ProbeLimits probes;
  /** Limit of the bodies of all requests and responses in progress. */
  ByteCount maxBuffered{ 64U << 20U };
  /** Seed of the random generator that chooses targets. */
  std::uint64_t seed = 1;
  /** Whether requests in progress are counted by the version of the target. */
  bool countsVersions = false;
  /** Receives the totals of draws of other zones; null if not needed. */
  std::shared_ptr<SnapshotCell<SpillUsage>> spillUsage;
};

} // namespace lacewing

#endif // GATEWAY_GATEWAYOPTIONS_H
