#ifndef FLEET_SPEAKERS_H
#define FLEET_SPEAKERS_H

#include "balance/OwnerCandidate.h"

#include <vector>

namespace lacewing {

/**
 * Whether aHost speaks for its zone, whose hosts are aZone: the two highest by
 * rendezvous hashing exchange digests with other zones, so that traffic
 * between zones grows with zones and not with hosts, and one may fail.
 */
bool IsZoneSpeaker(const HostId& aHost,
                   const std::vector<OwnerCandidate>& aZone);

} // namespace lacewing

#endif // FLEET_SPEAKERS_H
