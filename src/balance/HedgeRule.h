#ifndef BALANCE_HEDGERULE_H
#define BALANCE_HEDGERULE_H

#include "lacewing/Clock.h"

namespace lacewing {

/**
 * Returns how long a request is in flight before it is hedged if its target is
 * likely stuck.
 */
Duration HedgeAfter(Duration aUsualServiceTime);

/**
 * Returns how long a request is in flight before it is hedged, whatever the
 * state of its target.
 */
Duration UnconditionalHedgeAfter(Duration aUsualServiceTime);

/**
 * Whether a target with this slowdown counts as stuck. 100 percent means that
 * requests take their usual time.
 */
bool IsLikelyStuck(unsigned aSlowdownPercent);

} // namespace lacewing

#endif // BALANCE_HEDGERULE_H
