#ifndef DECISION_GRANT_H
#define DECISION_GRANT_H

#include "decision/GrantAsker.h"
#include "decision/GrantId.h"
#include "lacewing/Clock.h"
#include "lacewing/Epoch.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"

namespace lacewing {

/**
 * Content of a grant message: from wantSent on, for the grant time, the
 * asker may have up to slots requests in progress at the target. It replaces
 * every grant of the target with a lower id; requests sent under those count.
 */
struct Grant
{
  GrantId id;
  GrantAsker asker;
  TargetId target;
  Epoch epoch;
  SlotCount slots;
  /** When the want was sent, on the asker's clock. */
  TimePoint wantSent;
  /** The receiver holds it until wantSent + ClockMargin::Shorten(time). */
  Duration time{ 0 };
};

} // namespace lacewing

#endif // DECISION_GRANT_H
