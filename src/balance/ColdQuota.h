#ifndef BALANCE_COLDQUOTA_H
#define BALANCE_COLDQUOTA_H

#include "balance/ColdStartLimits.h"

namespace lacewing {

/**
 * Returns how many requests per second a target's owner host may send while
 * the target is cold. The limit is split equally among all hosts that may
 * consider themselves the owner: the owner, the previous owner, which may not
 * know yet that it lost ownership, and each of aUnresponsiveHosts, which may
 * be running on the other side of a network partition.
 */
unsigned ColdQuota(const ColdStartLimits& aLimits,
                   double aWarmUpRate,
                   unsigned aUnresponsiveHosts);

} // namespace lacewing

#endif // BALANCE_COLDQUOTA_H
