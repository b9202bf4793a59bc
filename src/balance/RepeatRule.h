#ifndef BALANCE_REPEATRULE_H
#define BALANCE_REPEATRULE_H

#include "balance/AttemptEnd.h"
#include "catalog/RequestClass.h"

namespace lacewing {

/**
 * Whether a request may go to a further target after an attempt ended so. One
 * that runs at most once may only when the attempt certainly did not run.
 */
bool MayRepeat(RequestClass aClass, AttemptEnd aEnd);

} // namespace lacewing

#endif // BALANCE_REPEATRULE_H
