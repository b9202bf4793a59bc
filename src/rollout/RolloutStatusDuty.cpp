#include "rollout/RolloutStatusDuty.h"

#include <algorithm>
#include <array>

namespace lacewing {

namespace {

constexpr Duration kStandbyDelay = std::chrono::seconds(2);
// A written status shows in the watch within this time.
constexpr Duration kFirstRetry = std::chrono::milliseconds(500);
constexpr Duration kMaxRetry = std::chrono::seconds(2);

constexpr std::array<RolloutState, 4> kStates = {
  RolloutState::kRunning,
  RolloutState::kRunning,
  RolloutState::kRolledBack,
  RolloutState::kCompleted,
};

} // namespace

RolloutState StateOf(const RolloutDirective& aDirective)
{
  return aDirective.verdict < kStates.size() ? kStates[aDirective.verdict]
                                             : RolloutState::kUnknown;
}

std::optional<RolloutStatus> RolloutStatusDuty::Due(
  TimePoint aNow,
  StatusWriter aWriter,
  const RolloutOrder& aOrder,
  const std::optional<RolloutDirective>& aKnown)
{
  const RolloutState state = aKnown ? StateOf(*aKnown) : RolloutState::kUnknown;
  const bool shown =
    aOrder.status.version == aOrder.id.version && aOrder.status.state == state;
  if (aWriter == StatusWriter::kNone || aOrder.Ended() || shown ||
      state == RolloutState::kUnknown) {
    wanted_.reset();
    nextAt_.reset();
    return std::nullopt;
  }
  if (wanted_ != state) {
    wanted_ = state;
    delay_ = Duration(0);
    nextAt_ = aNow + kStandbyDelay;
  }
  const bool written = delay_ > Duration(0);
  if (aWriter == StatusWriter::kPrimary && !written) {
    nextAt_ = aNow;
  }
  if (inProgress_ || aNow < *nextAt_) {
    return std::nullopt;
  }
  return RolloutStatus{ state, aOrder.id.version };
}

void RolloutStatusDuty::OnWriteBegun()
{
  inProgress_ = true;
}

void RolloutStatusDuty::OnWriteEnded(TimePoint aNow)
{
  inProgress_ = false;
  if (wanted_) {
    delay_ = std::clamp(2 * delay_, kFirstRetry, kMaxRetry);
    nextAt_ = aNow + delay_;
  }
}

} // namespace lacewing
