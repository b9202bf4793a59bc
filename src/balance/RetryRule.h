#ifndef BALANCE_RETRYRULE_H
#define BALANCE_RETRYRULE_H

#include "balance/AttemptResult.h"
#include "catalog/RequestClass.h"

namespace lacewing {

/**
 * Whether a request may be retried on another target after an attempt with this
 * result. A request that runs at most once may be retried only if the target
 * certainly did not run it.
 */
bool MayRetry(RequestClass aClass, AttemptResult aResult);

} // namespace lacewing

#endif // BALANCE_RETRYRULE_H
