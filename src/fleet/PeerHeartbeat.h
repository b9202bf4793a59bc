#ifndef FLEET_PEERHEARTBEAT_H
#define FLEET_PEERHEARTBEAT_H

#include "catalog/StorePosition.h"
#include "fleet/PeerAddress.h"
#include "fleet/WireReading.h"
#include "fleet/ZoneDigest.h"
#include "lacewing/Incarnation.h"
#include "rollout/RolloutDirective.h"
#include "rollout/RolloutEvidence.h"
#include "wire/OptionalWireMember.h"
#include "wire/WireMember.h"

#include <string>
#include <tuple>
#include <vector>

namespace lacewing {

/**
 * The only kind of datagram between hosts. It shows that the sender is alive
 * and carries the sender's state, new readings, hosts and zone digests.
 */
struct PeerHeartbeat
{
  PeerAddress from;
  Incarnation incarnation;
  /**
   * The sender requests the hosts that the receiver knows; starting hosts send
   * this to their seeds.
   */
  bool greeting = false;
  /** The sender is stopping and takes no further tasks. */
  bool leaving = false;
  /** The sender can reach the store, or has not tried to. */
  bool storeOk = true;
  /**
   * The positions up to which the sender's catalog is complete, by CatalogKind.
   */
  std::vector<StorePosition> positions;
  /** Time since the store last confirmed these positions. */
  Duration confirmedAge{ 0 };
  std::vector<WireReading> readings;
  std::vector<PeerAddress> members;
  /**
   * Digest of the sender's zone if it is sent to another zone. Inside a zone,
   * digests of the other zones, sent by speakers.
   */
  std::vector<ZoneDigest> zones;
  /**
   * What the sender has seen of rollouts; what its zone has seen if it is sent
   * to another zone.
   */
  std::vector<RolloutEvidence> evidence;
  /** What all hosts are to do about rollouts in progress. */
  std::vector<RolloutDirective> directives;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "f", &PeerHeartbeat::from },
      WireMember{ "i", &PeerHeartbeat::incarnation },
      WireMember{ "g", &PeerHeartbeat::greeting },
      WireMember{ "l", &PeerHeartbeat::leaving },
      WireMember{ "s", &PeerHeartbeat::storeOk },
      WireMember{ "v", &PeerHeartbeat::positions },
      WireMember{ "c", &PeerHeartbeat::confirmedAge },
      WireMember{ "r", &PeerHeartbeat::readings },
      WireMember{ "m", &PeerHeartbeat::members },
      WireMember{ "o", &PeerHeartbeat::zones },
      OptionalWireMember{ "e", &PeerHeartbeat::evidence },
      OptionalWireMember{ "d", &PeerHeartbeat::directives });
  }
};

} // namespace lacewing

#endif // FLEET_PEERHEARTBEAT_H
