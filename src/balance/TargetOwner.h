#ifndef BALANCE_TARGETOWNER_H
#define BALANCE_TARGETOWNER_H

#include "balance/OwnerCandidate.h"
#include "catalog/TargetSpec.h"

#include <vector>

namespace lacewing {

/**
 * The zone whose hosts own the target: its own while that has hosts, else the
 * highest of aAlive by rendezvous hashing. Null without zones.
 */
const ZoneId* OwnerZone(const TargetSpec& aTarget,
                        const std::vector<ZoneId>& aAlive);

/**
 * The host of the owning zone that probes a target and sends to it while it is
 * cold: the highest by rendezvous hashing. Null without hosts.
 */
const OwnerCandidate* OwnerOf(const TargetSpec& aTarget,
                              const std::vector<OwnerCandidate>& aZoneHosts);

/** Whether aHost is among the aCount highest of aHosts for the task aTask. */
bool IsAmongHighest(const HostId& aHost,
                    const std::vector<OwnerCandidate>& aHosts,
                    const char* aTask,
                    unsigned aCount);

} // namespace lacewing

#endif // BALANCE_TARGETOWNER_H
