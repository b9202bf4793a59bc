#ifndef FLEET_PEER_H
#define FLEET_PEER_H

#include "catalog/StorePosition.h"
#include "fleet/PeerAddress.h"
#include "lacewing/Clock.h"
#include "lacewing/Incarnation.h"

#include <optional>
#include <vector>

namespace lacewing {

/** The state of another host as far as this host knows it. */
struct Peer
{
  PeerAddress address;
  Incarnation incarnation;
  /** When this host first learned of the peer from a list of hosts. */
  TimePoint listedAt;
  /** When the last heartbeat was received; empty before the first one. */
  std::optional<TimePoint> lastHeartbeatAt;
  bool leaving = false;
  bool storeOk = true;
  std::vector<StorePosition> positions;
};

} // namespace lacewing

#endif // FLEET_PEER_H
