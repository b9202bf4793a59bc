#ifndef DECISION_HELDGRANT_H
#define DECISION_HELDGRANT_H

#include "lacewing/Clock.h"
#include "lacewing/Epoch.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"

namespace lacewing {

/**
 * Permission for one worker to have up to slots requests in progress at a
 * target that is not warm. No request may be sent at or after expiry, which
 * is on the worker's own clock and includes the safety margin.
 */
struct HeldGrant
{
  TargetId target;
  Epoch epoch;
  SlotCount slots;
  TimePoint expiry;
};

} // namespace lacewing

#endif // DECISION_HELDGRANT_H
