#ifndef FLEET_PEER_H
#define FLEET_PEER_H

#include "fleet/PeerAddress.h"
#include "lacewing/Clock.h"
#include "lacewing/Incarnation.h"
#include "lacewing/Revision.h"

#include <optional>
#include <vector>

namespace lacewing {

/** What a host knows of another one. */
struct Peer
{
  PeerAddress address;
  Incarnation incarnation;
  /** When a list named it. */
  TimePoint listedAt;
  /** Empty until the first beat. */
  std::optional<TimePoint> lastHeartbeatAt;
  bool leaving = false;
  bool storeOk = true;
  std::vector<Revision> revisions;
};

} // namespace lacewing

#endif // FLEET_PEER_H
