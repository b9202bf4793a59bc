#ifndef FLEET_PEERBEAT_H
#define FLEET_PEERBEAT_H

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
struct PeerBeat
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
    return std::make_tuple(WireMember{ "f", &PeerBeat::from },
                           WireMember{ "i", &PeerBeat::incarnation },
                           WireMember{ "g", &PeerBeat::greeting },
                           WireMember{ "l", &PeerBeat::leaving },
                           WireMember{ "s", &PeerBeat::storeOk },
                           WireMember{ "v", &PeerBeat::revisions },
                           WireMember{ "c", &PeerBeat::confirmedAge },
                           WireMember{ "r", &PeerBeat::readings },
                           WireMember{ "m", &PeerBeat::members },
                           WireMember{ "o", &PeerBeat::zones });
  }
};

} // namespace lacewing

#endif // FLEET_PEERBEAT_H
