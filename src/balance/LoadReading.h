#ifndef BALANCE_LOADREADING_H
#define BALANCE_LOADREADING_H

#include "balance/ReadingState.h"
#include "balance/TargetLoad.h"
#include "lacewing/Clock.h"
#include "lacewing/TargetId.h"

namespace lacewing {

/** What is known of a target's health and load. */
struct LoadReading
{
  TargetId target;
  ReadingState state = ReadingState::kUnresponsive;
  TargetLoad load;
  /** How much longer the target is cold; zero when it is warm. */
  Duration coldLeft{ 0 };
  /** When the load was told, on this host's clock. */
  TimePoint measuredAt;
  /** When state and coldLeft were told; only probes tell them. */
  TimePoint probedAt;
};

} // namespace lacewing

#endif // BALANCE_LOADREADING_H
