#ifndef ROLLOUT_ROLLOUTSTATUS_H
#define ROLLOUT_ROLLOUTSTATUS_H

#include "lacewing/ServiceVersion.h"
#include "rollout/RolloutState.h"

namespace lacewing {

/** The status of a rollout in the store. */
struct RolloutStatus
{
  RolloutState state = RolloutState::kUnknown;
  /** The version that the state refers to. */
  ServiceVersion version;
};

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTSTATUS_H
