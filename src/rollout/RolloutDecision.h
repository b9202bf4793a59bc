#ifndef ROLLOUT_ROLLOUTDECISION_H
#define ROLLOUT_ROLLOUTDECISION_H

#include "rollout/RolloutDirective.h"
#include "rollout/RolloutReason.h"

#include <cstdint>
#include <optional>

namespace lacewing {

/** What the deciding host does next about a rollout. */
struct RolloutDecision
{
  /**
   * The directive to merge and to send, with age 0. Empty if nothing is
   * decided and the last directive is not to be confirmed either: its evidence
   * is too old.
   */
  std::optional<RolloutDirective> directive;
  /** Whether the directive differs from the last one, not only in its age. */
  bool changed = false;
  RolloutReason reason = RolloutReason::kWaitsForEvidence;
  /** The route with too many bad responses (kBadResponses). */
  std::optional<std::uint32_t> badRoute;
};

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTDECISION_H
