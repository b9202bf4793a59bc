#ifndef ROLLOUT_ROLLOUTOWNER_H
#define ROLLOUT_ROLLOUTOWNER_H

#include "lacewing/HostId.h"
#include "lacewing/ServiceId.h"
#include "lacewing/ZoneId.h"

#include <vector>

namespace lacewing {

/**
 * Returns the zone that decides a service's rollouts: the highest of aLive by
 * rendezvous hashing. Returns null if aLive is empty.
 */
const ZoneId* DecidingZone(const ServiceId& aService,
                           const std::vector<ZoneId>& aLive);

/**
 * Returns the host that decides: the highest of the deciding zone's live
 * speakers by rendezvous hashing. Returns null if aSpeakers is empty.
 */
const HostId* DecidingHost(const ServiceId& aService,
                           const std::vector<HostId>& aSpeakers);

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTOWNER_H
