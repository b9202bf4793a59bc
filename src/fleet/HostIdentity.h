#ifndef FLEET_HOSTIDENTITY_H
#define FLEET_HOSTIDENTITY_H

#include "fleet/PeerAddress.h"
#include "lacewing/Incarnation.h"

#include <vector>

namespace lacewing {

/** Who this host is and whom it may ask first. */
struct HostIdentity
{
  PeerAddress self;
  Incarnation incarnation;
  /** Hosts that may know the fleet; any of them may be down. */
  std::vector<Endpoint> seeds;
};

} // namespace lacewing

#endif // FLEET_HOSTIDENTITY_H
