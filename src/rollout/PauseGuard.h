#ifndef ROLLOUT_PAUSEGUARD_H
#define ROLLOUT_PAUSEGUARD_H

#include "lacewing/Clock.h"

#include <optional>

namespace lacewing {

/** Tells that a host's process was paused, from the times of regular calls. */
class PauseGuard
{
public:
  /** A call; one more than a second after the last one follows a pause. */
  void OnCall(TimePoint aNow);

  /**
   * From this time on it is as if there had been no pause. Datagrams that
   * waited during a pause look new when they are read, so what seems to have
   * been counted before this time may be older.
   */
  TimePoint UsableFrom() const { return usableFrom_; }

private:
  std::optional<TimePoint> lastCall_;
  TimePoint usableFrom_ = TimePoint::min();
};

} // namespace lacewing

#endif // ROLLOUT_PAUSEGUARD_H
