#ifndef FLEET_PEEREXCHANGE_H
#define FLEET_PEEREXCHANGE_H

#include "balance/LoadReading.h"
#include "balance/OwnerCandidate.h"
#include "fleet/HostIdentity.h"
#include "fleet/HostRestart.h"
#include "fleet/Peer.h"
#include "fleet/PeerHeartbeat.h"
#include "fleet/PeerState.h"
#include "fleet/RolloutReceivers.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"
#include "quota/ZoneSpeakers.h"
#include "spill/ZoneLoad.h"
#include "spill/ZoneReport.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lacewing {

/**
 * Exchanges state with the other hosts: heartbeats with each host of this
 * host's zone, and digests of zones, which only the speakers of a zone send to
 * other zones.
 */
class PeerExchange
{
public:
  struct Events
  {
    /** Returns the state of this host to report to its peers. */
    std::function<PeerState()> state;
    /** A host joined, left or changed its state. */
    std::function<void()> onMembership;
    std::function<void(const LoadReading&)> onReading;
    /**
     * A heartbeat was received; it holds the positions of the sender's catalog.
     */
    std::function<void(const PeerHeartbeat&)> onCatalog;
    /** A heartbeat with evidence or directives of rollouts was received. */
    std::function<void(const PeerHeartbeat&)> onRollout;
  };

  /**
   * Starts to receive datagrams at once. Fails if the address cannot be bound.
   */
  static Outcome<std::unique_ptr<PeerExchange>> Make(
    asio::io_context& aContext,
    const Clock& aClock,
    const HostIdentity& aIdentity,
    Events aEvents);

  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /**
   * Adds hosts that the store lists. A new host of this zone receives a
   * heartbeat at once.
   */
  void Learn(const std::vector<PeerAddress>& aHosts);

  /** How often the live hosts of this zone send heartbeats. */
  Duration HeartbeatPeriod() const;

  /** When a host of this zone was last heard or named for the first time. */
  TimePoint LastJoin() const;

  /** Restarts of hosts of this zone that were noticed since the last call. */
  std::vector<HostRestart> TakeRestarts();

  /** Whether any heartbeat was received since the start. */
  bool HasReceived() const;

  /**
   * Periodic step: sends the heartbeats and digests that are due, and removes
   * hosts that were unresponsive for long.
   */
  void Tick(const std::vector<LoadReading>& aOwnReadings);

  /**
   * Sends a heartbeat to each host of this zone at once, for a change that
   * cannot wait for the next period. SendZoneDigest does the same for other
   * zones if this host is a speaker.
   */
  void SendZoneHeartbeats(const std::vector<LoadReading>& aOwnReadings);
  void SendZoneDigest();

  /** Sends what is to be sent about rollouts, in datagrams of its own. */
  void SendRollouts(RolloutReceivers aReceivers,
                    const std::vector<RolloutEvidence>& aEvidence,
                    const std::vector<RolloutDirective>& aDirectives);

  /**
   * Exchanges zones' loads from now on; without this call the digests that this
   * host sends have none.
   */
  void EnableZoneLoads();
  /** The loads to send to other zones while this host is a speaker. */
  void SetZoneLoads(const std::vector<ZoneLoad>& aLoads);
  /** The recent loads of the other zones. */
  std::vector<ZoneReport> ZoneLoads() const;

  /**
   * Live hosts of this zone that take tasks, this host included unless it is
   * leaving.
   */
  std::vector<OwnerCandidate> Candidates() const;
  /** The live zones with their speakers; the own zone is the first. */
  std::vector<ZoneSpeakers> SpeakersByZone() const;
  /** Live peers of this zone. */
  std::vector<const Peer*> Alive() const;
  /** Zones with live hosts, the own one included while it has any. */
  std::vector<ZoneId> AliveZones() const;
  /** Number of hosts that take tasks, by zone; all of AliveZones. */
  std::map<ZoneId, unsigned> HostsByZone() const;
  /** The speakers of this zone, this host included if it is one. */
  std::vector<HostId> Speakers() const;
  /** Other zones in which at least one host can reach the store. */
  std::vector<ZoneId> ZonesReachingStore() const;
  /** Number of live hosts of all zones, this one included. */
  unsigned HostCount() const;
  /**
   * Number of unresponsive hosts that may still run behind a network partition.
   */
  unsigned UnresponsiveHosts() const;
  /**
   * Whether this host is a speaker, which exchanges digests with other zones
   * (see Speakers.h).
   */
  bool IsSpeaker() const;

  std::uint64_t Sent() const;
  std::uint64_t Received() const;
  /** Number of received datagrams that could not be decoded. */
  std::uint64_t DecodeErrors() const;

private:
  struct Impl;
  explicit PeerExchange(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_PEEREXCHANGE_H
