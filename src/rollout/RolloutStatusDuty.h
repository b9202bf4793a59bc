#ifndef ROLLOUT_ROLLOUTSTATUSDUTY_H
#define ROLLOUT_ROLLOUTSTATUSDUTY_H

#include "lacewing/Clock.h"
#include "rollout/RolloutDirective.h"
#include "rollout/RolloutOrder.h"
#include "rollout/RolloutStatus.h"
#include "rollout/StatusWriter.h"

#include <optional>

namespace lacewing {

/**
 * When a host writes the status of one order to the store. A write is repeated
 * with growing delay until the store shows the status, since a write without a
 * response may have been executed or not. A terminal status is never replaced.
 */
class RolloutStatusDuty
{
public:
  /**
   * Returns the status to write now, conditional on the revision of aOrder, or
   * nothing. aOrder is what the watch of the store showed last; aKnown is the
   * order's newest directive (DirectiveTable::Find). No status is due while a
   * write is in progress.
   */
  std::optional<RolloutStatus> Due(
    TimePoint aNow,
    StatusWriter aWriter,
    const RolloutOrder& aOrder,
    const std::optional<RolloutDirective>& aKnown);

  /** A status that Due returned was sent to the store. */
  void OnWriteBegun();
  /** The write ended; its outcome is read from the store's watch. */
  void OnWriteEnded(TimePoint aNow);

  /** When Due is to be called again, if a status is to be written later. */
  std::optional<TimePoint> NextTime() const { return nextAt_; }

private:
  std::optional<RolloutState> wanted_;
  std::optional<TimePoint> nextAt_;
  /** Time from the last write to the next; zero before the first one. */
  Duration delay_{ 0 };
  bool inProgress_ = false;
};

/** The status that a directive stands for. */
RolloutState StateOf(const RolloutDirective& aDirective);

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTSTATUSDUTY_H
