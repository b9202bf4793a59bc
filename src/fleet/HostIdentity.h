#ifndef FLEET_HOSTIDENTITY_H
#define FLEET_HOSTIDENTITY_H

#include "fleet/PeerAddress.h"
#include "lacewing/Incarnation.h"

#include <vector>

namespace lacewing {

/** This host's own identity, and the seeds that it contacts first. */
struct HostIdentity
{
  PeerAddress self;
  Incarnation incarnation;
  /** Hosts that may know other hosts of the fleet. Any of them may be down. */
  std::vector<Endpoint> seeds;
};

} // namespace lacewing

#endif // FLEET_HOSTIDENTITY_H
