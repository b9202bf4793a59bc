#ifndef BALANCE_WATCHERS_H
#define BALANCE_WATCHERS_H

#include "balance/OwnerCandidate.h"
#include "balance/WatchRole.h"

#include <vector>

namespace lacewing {

/** Maximum number of zones with a watcher; more only add store calls. */
constexpr unsigned kMaxWatchers = 4;

/**
 * Returns the role of aSelf in watching the store on behalf of all hosts. The
 * highest host of a zone by rendezvous hashing watches, so that changes need
 * not cross zones and watchers remain when a zone is lost. At most kMaxWatchers
 * zones watch; the watcher of the highest zone is the primary. In a deployment
 * with a single zone, two hosts watch.
 * aZoneHosts are the hosts of aSelf's zone that may watch, aOtherZones the
 * other zones that have such hosts.
 */
WatchRole WatchRoleOf(const OwnerCandidate& aSelf,
                      const std::vector<OwnerCandidate>& aZoneHosts,
                      const std::vector<ZoneId>& aOtherZones);

} // namespace lacewing

#endif // BALANCE_WATCHERS_H
