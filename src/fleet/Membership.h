#ifndef FLEET_MEMBERSHIP_H
#define FLEET_MEMBERSHIP_H

#include "fleet/PeerExchange.h"

#include <set>
#include <string>

namespace lacewing {

/**
 * The members of the fleet at the last update: the hosts of this host's zone,
 * and the other zones.
 */
class Membership
{
public:
  /**
   * Applies the state that aPeers holds. Logs a change and returns true for it.
   */
  bool Update(const PeerExchange& aPeers);

private:
  /** Ids of this zone's hosts, and names of the zones with live hosts. */
  std::set<std::string> members_;
  unsigned hosts_ = 0;
  unsigned unresponsive_ = 0;
};

} // namespace lacewing

#endif // FLEET_MEMBERSHIP_H
