#ifndef BALANCE_RETRYRULE_H
#define BALANCE_RETRYRULE_H

#include "balance/AttemptResult.h"
#include "catalog/RequestClass.h"

namespace lacewing {

/**
 * Whether a request may go to a further target after an attempt ended so. One
 * that runs at most once may only when the attempt certainly did not run.
 */
bool MayRetry(RequestClass aClass, AttemptResult aResult);

} // namespace lacewing

#endif // BALANCE_RETRYRULE_H
