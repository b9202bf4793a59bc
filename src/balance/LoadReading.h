#ifndef BALANCE_LOADREADING_H
#define BALANCE_LOADREADING_H

#include "balance/ReadingState.h"
#include "balance/TargetLoad.h"
#include "lacewing/Clock.h"
#include "lacewing/TargetId.h"

#include <optional>

namespace lacewing {

/** The last known health and load of a target. */
struct LoadReading
{
  TargetId target;
  ReadingState state = ReadingState::kUnresponsive;
  /** Empty if the target does not report its load. */
  std::optional<TargetLoad> load;
  /** How much longer the target stays cold, as of probedAt; zero if warm. */
  Duration coldLeft{ 0 };
  /** When the target reported its load, on this host's clock. */
  TimePoint measuredAt;
  /** When a probe set state and coldLeft; other responses lack them. */
  TimePoint probedAt;
};

} // namespace lacewing

#endif // BALANCE_LOADREADING_H
