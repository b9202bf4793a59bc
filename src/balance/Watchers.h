#ifndef BALANCE_WATCHERS_H
#define BALANCE_WATCHERS_H

#include "balance/OwnerCandidate.h"
#include "balance/WatchRole.h"

#include <vector>

namespace lacewing {

/** Zones that watch; more would only add calls to the store. */
constexpr unsigned kMaxWatchers = 4;

/**
 * How a host takes part in watching the store for all: the highest host of a
 * zone watches, so that news need not cross zones and one zone's loss leaves
 * watchers. At most kMaxWatchers zones watch, and the highest of them has the
 * first watcher; in a deployment of one zone two hosts watch.
 * aZoneHosts are the hosts of aSelf's zone that may watch, aOtherZones the
 * other zones that have such hosts.
 */
WatchRole WatchRoleOf(const OwnerCandidate& aSelf,
                      const std::vector<OwnerCandidate>& aZoneHosts,
                      const std::vector<ZoneId>& aOtherZones);

} // namespace lacewing

#endif // BALANCE_WATCHERS_H
