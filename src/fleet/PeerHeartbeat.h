#ifndef FLEET_PEERHEARTBEAT_H
#define FLEET_PEERHEARTBEAT_H

#include "fleet/PeerAddress.h"
#include "fleet/WireReading.h"
#include "fleet/ZoneDigest.h"
#include "lacewing/Incarnation.h"
#include "lacewing/Revision.h"
#include "wire/WireMember.h"

#include <string>
#include <tuple>
#include <vector>

namespace lacewing {

/** The one datagram between hosts: a sign of life with what is new. */
struct PeerHeartbeat
{
  PeerAddress from;
  Incarnation incarnation;
  /** The sender asks for the members that the receiver knows. */
  bool greeting = false;
  /** The sender is stopping; it takes no further tasks. */
  bool leaving = false;
  /** The sender reaches the store, or has not tried. */
  bool storeOk = true;
  /** Up to where the sender's catalog is complete, by CatalogKind. */
  std::vector<Revision> revisions;
  /** When that was last confirmed by the store. */
  Duration confirmedAge{ 0 };
  std::vector<WireReading> readings;
  std::vector<PeerAddress> members;
  /** The sender's zone, and inside a zone the others that speakers know. */
  std::vector<ZoneDigest> zones;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "f", &PeerHeartbeat::from },
                           WireMember{ "i", &PeerHeartbeat::incarnation },
                           WireMember{ "g", &PeerHeartbeat::greeting },
                           WireMember{ "l", &PeerHeartbeat::leaving },
                           WireMember{ "s", &PeerHeartbeat::storeOk },
                           WireMember{ "v", &PeerHeartbeat::revisions },
                           WireMember{ "c", &PeerHeartbeat::confirmedAge },
                           WireMember{ "r", &PeerHeartbeat::readings },
                           WireMember{ "m", &PeerHeartbeat::members },
                           WireMember{ "o", &PeerHeartbeat::zones });
  }
};

} // namespace lacewing

#endif // FLEET_PEERHEARTBEAT_H
