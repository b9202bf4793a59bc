#ifndef BALANCE_WATCHERS_H
#define BALANCE_WATCHERS_H

#include "balance/OwnerCandidate.h"
#include "balance/WatchRole.h"

#include <vector>

namespace lacewing {

/**
 * Whether aHost is one of those that watch the store for all: the highest by
 * rendezvous hashing of each zone, so that news need not cross zones and one
 * zone's loss leaves watchers. At most kMaxWatchers zones watch; a deployment
 * of one zone has two watchers there. The highest of all is the first.
 */
WatchRole WatchRoleOf(const HostId& aHost,
                      const std::vector<OwnerCandidate>& aHosts);

/** Zones that watch; more would only add calls to the store. */
constexpr unsigned kMaxWatchers = 4;

} // namespace lacewing

#endif // BALANCE_WATCHERS_H
