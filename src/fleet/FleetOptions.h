#ifndef FLEET_FLEETOPTIONS_H
#define FLEET_FLEETOPTIONS_H

#include "balance/ColdStartLimits.h"
#include "balance/ProbeLimits.h"
#include "core/SnapshotCell.h"
#include "gateway/HeaderNames.h"
#include "rollout/RolloutLimits.h"
#include "spill/SpillUsage.h"
#include "spill/ZoneCost.h"

#include <memory>
#include <optional>

namespace lacewing {

/** Deployment settings of the control thread. */
struct FleetOptions
{
  ColdStartLimits cold;
  ProbeLimits probes;
  HeaderNames names;
  /**
   * The whole deployment starts for the first time. Callers come some seconds
   * later, so a host waits for its peers instead of reading the store itself.
   */
  bool firstStart = false;
  /** Whether zones tell each other their speakers, for customers' limits. */
  bool namesSpeakers = false;
  /** Empty in a deployment without rollouts, which ignores versions. */
  std::optional<RolloutLimits> rollouts;
  /**
   * The cost of a request in another zone. If empty, zones exchange no loads
   * and no request is drawn to leave its zone.
   */
  std::optional<ZoneCost> spill;
  /** The traffic thread's totals of its draws; null without spill. */
  std::shared_ptr<const SnapshotCell<SpillUsage>> spillUsage;
};

} // namespace lacewing

#endif // FLEET_FLEETOPTIONS_H
