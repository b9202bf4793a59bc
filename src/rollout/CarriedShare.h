#ifndef ROLLOUT_CARRIEDSHARE_H
#define ROLLOUT_CARRIEDSHARE_H

#include "lacewing/BasisPoints.h"
#include "rollout/VersionCapacity.h"

namespace lacewing {

/**
 * Share of a service's requests that a version can carry with 20 % headroom.
 * aBusySlots is what the service's requests occupy at targets of both versions.
 */
BasisPoints CarriedShare(const VersionCapacity& aVersion, double aBusySlots);

} // namespace lacewing

#endif // ROLLOUT_CARRIEDSHARE_H
