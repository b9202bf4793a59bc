#ifndef CATALOG_CALLERLIMITS_H
#define CATALOG_CALLERLIMITS_H

#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"

namespace lacewing {

/** Limits on the requests and connections of callers. */
struct CallerLimits
{
  /** Largest accepted request head. */
  ByteCount maxHead{ 16U << 10U };
  /** Largest accepted request body. */
  ByteCount maxBody{ 16U << 20U };
  /** Maximum time from the first byte of a request head to its last. */
  Duration headTimeout = std::chrono::seconds(5);
  /** How long a connection stays open without a request. */
  Duration idleTimeout = std::chrono::seconds(30);
};

} // namespace lacewing

#endif // CATALOG_CALLERLIMITS_H
