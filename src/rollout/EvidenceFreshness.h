#ifndef ROLLOUT_EVIDENCEFRESHNESS_H
#define ROLLOUT_EVIDENCEFRESHNESS_H

#include "rollout/ZoneEvidence.h"

#include <vector>

namespace lacewing {

/**
 * Evidence that a rollout may advance on is at most this old. It takes up to
 * 1.1 s from a host's heartbeat to its speaker and from there to the decider.
 */
constexpr Duration kEvidenceFresh = std::chrono::milliseconds(1500);

/** Whether a zone's evidence is known and at most aMaxAge old. */
bool IsFresh(TimePoint aNow, const ZoneEvidence& aZone, Duration aMaxAge);

/** Whether there are zones and the evidence of each is fresh. */
bool AreFresh(TimePoint aNow,
              const std::vector<ZoneEvidence>& aZones,
              Duration aMaxAge);

/** Time since the oldest known evidence of these zones was counted. */
Duration OldestAge(TimePoint aNow, const std::vector<ZoneEvidence>& aZones);

} // namespace lacewing

#endif // ROLLOUT_EVIDENCEFRESHNESS_H
