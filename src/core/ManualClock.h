#ifndef CORE_MANUALCLOCK_H
#define CORE_MANUALCLOCK_H

#include "lacewing/Clock.h"

namespace lacewing {

/** A clock that moves only when told to, for tests and benches. */
class ManualClock final : public Clock
{
public:
  TimePoint Now() const override { return now_; }
  void Advance(Duration aStep) { now_ += aStep; }
  void Set(TimePoint aNow) { now_ = aNow; }

private:
  TimePoint now_{ std::chrono::hours(1) };
};

} // namespace lacewing

#endif // CORE_MANUALCLOCK_H
