#ifndef ROLLOUT_VERSIONSPLIT_H
#define ROLLOUT_VERSIONSPLIT_H

#include "lacewing/Clock.h"
#include "rollout/OrderId.h"

#include <cstdint>

namespace lacewing {

/**
 * How the traffic thread divides a service's requests between the versions
 * during a rollout.
 */
struct VersionSplit
{
  OrderId order;
  /** The step of the directive that this split applies. */
  std::uint32_t step = 0;
  /** Part of the requests for the new version, 0 to 1. */
  double newShare = 0;
  /** From this time on the new version gets no requests. */
  TimePoint validUntil;
  /** Whether requests without a target of one version may use the other. */
  bool proven = false;
};

} // namespace lacewing

#endif // ROLLOUT_VERSIONSPLIT_H
