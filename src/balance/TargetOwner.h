#ifndef BALANCE_TARGETOWNER_H
#define BALANCE_TARGETOWNER_H

#include "balance/OwnerCandidate.h"
#include "catalog/TargetSpec.h"

#include <set>
#include <vector>

namespace lacewing {

/**
 * Returns the zone whose hosts own the target: the target's own zone if it is
 * in aAlive, the zones with live hosts; otherwise the highest of aAlive by
 * rendezvous hashing. Returns null if aAlive is empty.
 */
const ZoneId* OwnerZone(const TargetSpec& aTarget,
                        const std::vector<ZoneId>& aAlive);

/**
 * Returns the owner host of a target, which probes it and sends it requests
 * while it is cold: the highest of aZoneHosts, the live hosts of the owning
 * zone, by rendezvous hashing. Returns null if aZoneHosts is empty.
 */
const OwnerCandidate* OwnerOf(const TargetSpec& aTarget,
                              const std::vector<OwnerCandidate>& aZoneHosts);

/**
 * Whether aHost ranks among the aCount highest of aHosts by rendezvous hashing
 * with the task name aTask.
 */
bool IsAmongHighest(const HostId& aHost,
                    const std::vector<OwnerCandidate>& aHosts,
                    const char* aTask,
                    unsigned aCount);

/** The hosts for which IsAmongHighest is true, found in one pass. */
std::set<HostId> HighestHosts(const std::vector<OwnerCandidate>& aHosts,
                              const char* aTask,
                              unsigned aCount);

} // namespace lacewing

#endif // BALANCE_TARGETOWNER_H
