#ifndef CONTROL_MESHPLAN_H
#define CONTROL_MESHPLAN_H

#include "control/ControlTerms.h"
#include "control/MemberTable.h"

#include <set>

namespace lacewing {

/** Most peers that a host is connected to beyond full-mesh size. */
constexpr std::size_t kMaxMeshDegree = 12;

/**
 * The peers that a host keeps connections with. All of them up to
 * aTerms.fullMeshHosts hosts; beyond that the two neighbours on each of six
 * rings: one in the order of the ids, two of the own zone and three of all
 * hosts in hashed orders. The choice is symmetric when the views are equal.
 */
std::set<HostId> PlanMesh(const MemberTable& aMembers,
                          const ControlTerms& aTerms);

/**
 * Whether a host is among the aCount first of aHosts by rendezvous hashing
 * with aPurpose.
 */
bool IsAmongFirst(const HostId& aHost,
                  const std::vector<HostId>& aHosts,
                  unsigned aCount,
                  const std::string& aPurpose);

} // namespace lacewing

#endif // CONTROL_MESHPLAN_H
