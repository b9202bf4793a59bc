#ifndef DECISION_TARGETOBSERVATION_H
#define DECISION_TARGETOBSERVATION_H

#include "lacewing/Clock.h"
#include "lacewing/InstanceId.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"

#include <cstdint>

namespace lacewing {

/** What one worker saw of a target since its last report. */
struct TargetObservation
{
  TargetId target;
  /**
   * The instance that answered last. With looksCold, the new instance when
   * its change is the sign, and empty for the other signs.
   */
  InstanceId instance;
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;
  SlotCount inFlight;
  /** Slots for which a grant would be used at this target. */
  SlotCount wanted;
  /** Moving average of answer times; zero when none. */
  Duration latency{ 0 };
  /**
   * Signs of a cold start: new instance, reset, refused connection, an
   * answer that says so, or a latency jump. Reported once an epoch.
   */
  bool looksCold = false;
  bool draining = false;
};

} // namespace lacewing

#endif // DECISION_TARGETOBSERVATION_H
