#ifndef FLEET_PEERTABLE_H
#define FLEET_PEERTABLE_H

#include "balance/OwnerCandidate.h"
#include "fleet/Peer.h"
#include "fleet/PeerHeartbeat.h"

#include <map>
#include <vector>

namespace lacewing {

/** The other hosts of this host's zone, by beats and by lists. */
class PeerTable
{
public:
  explicit PeerTable(const PeerAddress& aSelf);

  /** A list names a host of the zone; returns whether it is new. */
  bool Learn(const PeerAddress& aAddress, TimePoint aNow);

  /** Returns whether the sender was not alive before, or changed its state. */
  bool OnHeartbeat(const PeerHeartbeat& aHeartbeat, TimePoint aNow);

  /** Hosts that were heard lately. */
  std::vector<const Peer*> Alive(TimePoint aNow) const;

  /** All hosts that beats are sent to. */
  std::vector<const Peer*> Known() const;

  /** Hosts that take tasks, this one included unless aSelfLeaving. */
  std::vector<OwnerCandidate> Candidates(TimePoint aNow,
                                         bool aSelfLeaving) const;

  /** Hosts that fell silent without a word and may still run behind a cut. */
  unsigned UnresponsiveHosts(TimePoint aNow) const;

  /** Forgets hosts that have been silent for long. */
  void Forget(TimePoint aNow);

  /** The time between beats that suits the number of hosts. */
  Duration HeartbeatPeriod() const;

private:
  bool IsAlive(const Peer& aPeer, TimePoint aNow) const;

  PeerAddress self_;
  std::map<HostId, Peer> peers_;
};

} // namespace lacewing

#endif // FLEET_PEERTABLE_H
