#ifndef BALANCE_TARGETOWNER_H
#define BALANCE_TARGETOWNER_H

#include "balance/OwnerCandidate.h"
#include "catalog/TargetSpec.h"

#include <vector>

namespace lacewing {

/**
 * The host that probes a target and sends to it while it is cold: the highest
 * by rendezvous hashing among the hosts of the target's zone, or among all
 * when the zone has none. Null without candidates.
 */
const OwnerCandidate* OwnerOf(const TargetSpec& aTarget,
                              const std::vector<OwnerCandidate>& aHosts);

/**
 * Whether aHost is among the aCount highest of aHosts for the task aTask.
 */
bool IsAmongHighest(const HostId& aHost,
                    const std::vector<OwnerCandidate>& aHosts,
                    const char* aTask,
                    unsigned aCount);

} // namespace lacewing

#endif // BALANCE_TARGETOWNER_H
