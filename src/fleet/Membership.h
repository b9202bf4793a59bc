#ifndef FLEET_MEMBERSHIP_H
#define FLEET_MEMBERSHIP_H

#include "fleet/PeerExchange.h"

#include <set>
#include <string>

namespace lacewing {

/** The fleet as this host last saw it: its zone's hosts and other zones. */
class Membership
{
public:
  /** Takes over what peers tell; logs and returns true on a change. */
  bool Update(const PeerExchange& aPeers);

private:
  /** Hosts of the zone and zones, by name. */
  std::set<std::string> members_;
  unsigned hosts_ = 0;
  unsigned unresponsive_ = 0;
};

} // namespace lacewing

#endif // FLEET_MEMBERSHIP_H
