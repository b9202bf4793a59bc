#ifndef BALANCE_COLDQUOTA_H
#define BALANCE_COLDQUOTA_H

#include "balance/ColdStartLimits.h"

namespace lacewing {

/**
 * Requests a second that a target's owner may send while it is cold. The
 * previous owner may not know yet that it is none, and each of
 * aUnresponsiveHosts may run behind a cut and believe to be one, so each has a
 * like share.
 */
unsigned ColdQuota(const ColdStartLimits& aLimits,
                   double aWarmUpRate,
                   unsigned aUnresponsiveHosts);

} // namespace lacewing

#endif // BALANCE_COLDQUOTA_H
