#ifndef ROLLOUT_ROLLOUTSTATE_H
#define ROLLOUT_ROLLOUTSTATE_H

#include <cstdint>

namespace lacewing {

/** How far a rollout has come, as its status in the store says. */
enum class RolloutState : std::uint32_t
{
  /** No status was written yet, or one that cannot be read. */
  kUnknown = 0,
  kRunning = 1,
  /** All requests go to the new version; the old targets stop. */
  kCompleted = 2,
  /** No request goes to the new version; its targets stop. */
  kRolledBack = 3,
};

inline bool IsTerminal(RolloutState aState)
{
  return aState == RolloutState::kCompleted ||
         aState == RolloutState::kRolledBack;
}

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTSTATE_H
