#ifndef DECISION_WARMUP_H
#define DECISION_WARMUP_H

#include "lacewing/Clock.h"
#include "lacewing/SlotCount.h"

namespace lacewing {

/** How a service's targets start, from its ServiceConfig. */
struct WarmUp
{
  /** Requests that a warm target runs at the same time. */
  SlotCount slots{ 1 };
  /** Requests that a cold target bears at the same time. */
  SlotCount coldLimit{ 1 };
  /** How long a target stays cold after its first good answer. */
  Duration coldTime = std::chrono::seconds(3);
  /** How long the limit then takes to grow to all slots. */
  Duration rampTime = std::chrono::seconds(5);
};

} // namespace lacewing

#endif // DECISION_WARMUP_H
