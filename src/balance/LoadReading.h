#ifndef BALANCE_LOADREADING_H
#define BALANCE_LOADREADING_H

#include "balance/ReadingState.h"
#include "balance/TargetLoad.h"
#include "lacewing/Clock.h"
#include "lacewing/TargetId.h"

namespace lacewing {

/** One measurement of a target by its owner. */
struct LoadReading
{
  TargetId target;
  ReadingState state = ReadingState::kSilent;
  TargetLoad load;
  /** How much longer the target is cold; zero when it is warm. */
  Duration coldLeft{ 0 };
  /** On this host's clock, late by at most the time the message took. */
  TimePoint measuredAt;
};

} // namespace lacewing

#endif // BALANCE_LOADREADING_H
