#ifndef FLEET_SPEAKERS_H
#define FLEET_SPEAKERS_H

#include "balance/OwnerCandidate.h"

#include <set>
#include <vector>

namespace lacewing {

/**
 * Whether aHost is a speaker of its zone, whose hosts are aZone. The speakers
 * are the two hosts that rank highest by rendezvous hashing; they exchange
 * digests with other zones. So traffic between zones grows with the number of
 * zones and not of hosts, and one speaker may fail.
 */
bool IsZoneSpeaker(const HostId& aHost,
                   const std::vector<OwnerCandidate>& aZone);

/** The speakers of the zone whose hosts are aZone. */
std::set<HostId> SpeakersOf(const std::vector<OwnerCandidate>& aZone);

} // namespace lacewing

#endif // FLEET_SPEAKERS_H
