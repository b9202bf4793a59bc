#ifndef CATALOG_CALLERLIMITS_H
#define CATALOG_CALLERLIMITS_H

#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"

namespace lacewing {

/** What callers may send and how long they may take. */
struct CallerLimits
{
  ByteCount maxHead{ 16U << 10U };
  ByteCount maxBody{ 16U << 20U };
  /** From the first byte of a head to its last. */
  Duration headTimeout = std::chrono::seconds(5);
  /** How long a connection without a request stays open. */
  Duration idleTimeout = std::chrono::seconds(30);
};

} // namespace lacewing

#endif // CATALOG_CALLERLIMITS_H
