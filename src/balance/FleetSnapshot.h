#ifndef BALANCE_FLEETSNAPSHOT_H
#define BALANCE_FLEETSNAPSHOT_H

#include "balance/FleetTarget.h"
#include "catalog/RouteTable.h"

#include <map>
#include <memory>
#include <vector>

namespace lacewing {

/**
 * What the traffic thread bases its decisions on, except load. A snapshot is
 * immutable.
 */
struct FleetSnapshot
{
  /** Null until a configuration has been read. */
  std::shared_ptr<const RouteTable> routes;
  /** Targets that accept new requests, by service. */
  std::map<ServiceId, std::vector<FleetTarget>> targets;
  /** Number of live hosts, including this one. */
  unsigned hosts = 1;
};

} // namespace lacewing

#endif // BALANCE_FLEETSNAPSHOT_H
