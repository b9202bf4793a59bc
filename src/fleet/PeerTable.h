#ifndef FLEET_PEERTABLE_H
#define FLEET_PEERTABLE_H

#include "balance/OwnerCandidate.h"
#include "fleet/HostRestart.h"
#include "fleet/Peer.h"
#include "fleet/PeerHeartbeat.h"

#include <map>
#include <vector>

namespace lacewing {

/**
 * The other hosts of this host's zone, as known from heartbeats and from lists
 * of hosts.
 */
class PeerTable
{
public:
  explicit PeerTable(const PeerAddress& aSelf);

  /**
   * Adds a host of this zone that a list contains. Returns whether it is new.
   */
  bool Learn(const PeerAddress& aAddress, TimePoint aNow);

  /**
   * Applies a heartbeat. Returns whether the sender was not alive before, was
   * restarted, or has started or stopped leaving.
   */
  bool OnHeartbeat(const PeerHeartbeat& aHeartbeat, TimePoint aNow);

  /** The restarts that heartbeats have shown since the last call. */
  std::vector<HostRestart> TakeRestarts();

  /** Hosts from which a heartbeat was received recently. */
  std::vector<const Peer*> Alive(TimePoint aNow) const;

  /** All hosts to which heartbeats are sent. */
  std::vector<const Peer*> Known() const;

  /** Live hosts that take tasks, this one included unless aSelfLeaving. */
  std::vector<OwnerCandidate> Candidates(TimePoint aNow,
                                         bool aSelfLeaving) const;

  /**
   * Number of hosts that became unresponsive without announcing a stop and may
   * still run behind a network partition.
   */
  unsigned UnresponsiveHosts(TimePoint aNow) const;

  /** Removes hosts that have been unresponsive for long. */
  void Forget(TimePoint aNow);

  /** The time between heartbeats, which grows with the number of hosts. */
  Duration HeartbeatPeriod() const;

  /** When a host was last heard or named for the first time. */
  TimePoint LastJoin() const { return lastJoin_; }

private:
  bool IsAlive(const Peer& aPeer, TimePoint aNow) const;

  PeerAddress self_;
  std::map<HostId, Peer> peers_;
  TimePoint lastJoin_;
  std::vector<HostRestart> restarts_;
};

} // namespace lacewing

#endif // FLEET_PEERTABLE_H
