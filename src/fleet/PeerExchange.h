#ifndef FLEET_PEEREXCHANGE_H
#define FLEET_PEEREXCHANGE_H

#include "balance/LoadReading.h"
#include "balance/OwnerCandidate.h"
#include "fleet/HostIdentity.h"
#include "fleet/Peer.h"
#include "fleet/PeerHeartbeat.h"
#include "fleet/PeerState.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace lacewing {

/**
 * Keeps a host in touch with the others: beats to every host of its zone, and
 * between zones digests that each zone's speakers exchange.
 */
class PeerExchange
{
public:
  struct Events
  {
    /** What this host tells of itself now. */
    std::function<PeerState()> state;
    /** A host came, went or changed its state. */
    std::function<void()> onMembership;
    std::function<void(const LoadReading&)> onReading;
    /** A beat told of the sender's catalog. */
    std::function<void(const PeerHeartbeat&)> onCatalog;
  };

  /** Takes datagrams at once; fails when the address cannot be bound. */
  static Outcome<std::unique_ptr<PeerExchange>> Make(
    asio::io_context& aContext,
    const Clock& aClock,
    const HostIdentity& aIdentity,
    Events aEvents);

  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /** A list names hosts. */
  void Learn(const std::vector<PeerAddress>& aHosts);

  /** Whether any other host was heard since the start. */
  bool HasReceived() const;

  /** One step of time: beats that are due, and hosts that are forgotten. */
  void Tick(const std::vector<LoadReading>& aOwnReadings);

  /** Beats at once, because something changed. */
  void SendZoneHeartbeats(const std::vector<LoadReading>& aOwnReadings);
  void SendZoneDigest();

  /** Live hosts of the zone that take tasks. */
  std::vector<OwnerCandidate> Candidates() const;
  /** Live peers of the zone. */
  std::vector<const Peer*> Alive() const;
  /** Zones that have hosts, this one included. */
  std::vector<ZoneId> AliveZones() const;
  /** Other zones of which a host reaches the store. */
  std::vector<ZoneId> ZonesReachingStore() const;
  /** All live hosts, this one included. */
  unsigned HostCount() const;
  /** Hosts that may run behind a cut. */
  unsigned UnresponsiveHosts() const;
  /** Whether this host exchanges digests with other zones. */
  bool IsSpeaker() const;

  std::uint64_t Sent() const;
  std::uint64_t Received() const;
  /** Datagrams that could not be read. */
  std::uint64_t DecodeErrors() const;

private:
  struct Impl;
  explicit PeerExchange(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_PEEREXCHANGE_H
