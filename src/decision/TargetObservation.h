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
  InstanceId instance;
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;
  SlotCount inFlight;
  /** Requests that wait for a grant at this target. */
  SlotCount wanted;
  /** Moving average of answer times; zero when none. */
  Duration latency{ 0 };
  /** Signs of a cold start: new instance, reset, refused connection. */
  bool looksCold = false;
  bool draining = false;
};

} // namespace lacewing

#endif // DECISION_TARGETOBSERVATION_H
