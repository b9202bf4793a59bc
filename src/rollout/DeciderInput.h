#ifndef ROLLOUT_DECIDERINPUT_H
#define ROLLOUT_DECIDERINPUT_H

#include "lacewing/Clock.h"
#include "rollout/RolloutDirective.h"
#include "rollout/VersionCapacity.h"
#include "rollout/ZoneEvidence.h"

#include <optional>
#include <vector>

namespace lacewing {

/** What the deciding host knows at one moment of a rollout. */
struct DeciderInput
{
  TimePoint now;
  /** The order's newest directive, expired or not (DirectiveTable::Find). */
  std::optional<RolloutDirective> known;
  /** One entry for each live zone, also for one that sent no evidence. */
  std::vector<ZoneEvidence> zones;
  /** Hosts of all zones that are unresponsive and may still run. */
  unsigned unresponsiveHosts = 0;
  VersionCapacity newTargets;
  /** The usable targets of all other versions. */
  VersionCapacity oldTargets;
  /** Slots that the service's requests occupy, over both versions. */
  double busySlots = 0;
};

} // namespace lacewing

#endif // ROLLOUT_DECIDERINPUT_H
