#ifndef ROLLOUT_ZONEEVIDENCE_H
#define ROLLOUT_ZONEEVIDENCE_H

#include "lacewing/Clock.h"
#include "lacewing/ZoneId.h"
#include "rollout/RolloutEvidence.h"

#include <optional>

namespace lacewing {

/** What the deciding host knows of one live zone during a rollout. */
struct ZoneEvidence
{
  ZoneId zone;
  /** Number of the zone's live hosts. */
  unsigned liveHosts = 0;
  /** When the evidence was counted; empty if the zone sent none. */
  std::optional<TimePoint> countedAt;
  RolloutEvidence evidence;
};

} // namespace lacewing

#endif // ROLLOUT_ZONEEVIDENCE_H
