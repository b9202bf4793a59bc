#ifndef BALANCE_HEDGERULE_H
#define BALANCE_HEDGERULE_H

#include "lacewing/Clock.h"

namespace lacewing {

/** How long a request is in flight before its target's state is looked at. */
Duration HedgeAfter(Duration aUsualServiceTime);

/** How long until it goes to a second target whatever that state is. */
Duration UnconditionalHedgeAfter(Duration aUsualServiceTime);

/** Whether a target so slow is taken to be stuck; 100 is its usual speed. */
bool IsLikelyStuck(unsigned aSlowdownPercent);

} // namespace lacewing

#endif // BALANCE_HEDGERULE_H
