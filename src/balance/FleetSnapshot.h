#ifndef BALANCE_FLEETSNAPSHOT_H
#define BALANCE_FLEETSNAPSHOT_H

#include "balance/FleetTarget.h"
#include "catalog/RouteTable.h"

#include <map>
#include <memory>
#include <vector>

namespace lacewing {

/** All that the traffic thread decides on but load; never changes. */
struct FleetSnapshot
{
  /** Null until a configuration has been read. */
  std::shared_ptr<const RouteTable> routes;
  /** Targets that take new requests, by service. */
  std::map<ServiceId, std::vector<FleetTarget>> targets;
  /** Hosts that are alive, this one included. */
  unsigned hosts = 1;
};

} // namespace lacewing

#endif // BALANCE_FLEETSNAPSHOT_H
