#ifndef FLEET_WATCHELECTION_H
#define FLEET_WATCHELECTION_H

#include "balance/OwnerCandidate.h"
#include "balance/WatchRole.h"
#include "fleet/PeerExchange.h"
#include "lacewing/Clock.h"

#include <vector>

namespace lacewing {

/** Decides from the state of the peers whether this host watches the store. */
class WatchElection
{
public:
  /** aFirstStart: see FleetOptions::firstStart. */
  WatchElection(const Clock& aClock,
                const OwnerCandidate& aSelf,
                bool aFirstStart);

  /**
   * Decides again. Returns whether the role has changed. aBehind says for how
   * long this host has known of changes that it could not get from peers.
   */
  bool Update(const PeerExchange& aPeers, bool aLeaving, Duration aBehind);

  /**
   * Whether this host, which lost the store, should find out now if it is back.
   * True at most once a second, and only if the host would watch then.
   */
  bool TakeTrial(const PeerExchange& aPeers, bool aLeaving);

  /**
   * Notes that the store is reachable or unreachable from this host. Returns
   * whether that has changed.
   */
  bool OnReachable(bool aReachable);

  WatchRole Role() const { return role_; }
  bool StoreOk() const { return storeOk_; }

private:
  std::vector<OwnerCandidate> HostsReachingStore(const PeerExchange& aPeers,
                                                 bool aLeaving) const;

  const Clock& clock_;
  const OwnerCandidate self_;
  const bool firstStart_;
  const TimePoint startedAt_;
  /** When a host that lost the store may try it again. */
  TimePoint trialAt_;
  /** Until then this host watches even if others are elected. */
  TimePoint watchesItselfUntil_;
  WatchRole role_ = WatchRole::kNone;
  bool storeOk_ = true;
};

} // namespace lacewing

#endif // FLEET_WATCHELECTION_H
