#ifndef FLEET_PULLPLAN_H
#define FLEET_PULLPLAN_H

#include "catalog/StorePosition.h"
#include "fleet/PeerAddress.h"
#include "lacewing/Clock.h"
#include "lacewing/HostId.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing {

/**
 * Decides from which peers to pull changes of the catalog, and when. A peer
 * that does not answer costs kPatience and no more: then another one is asked
 * as well, and the silent one is asked last for some time.
 */
class PullPlan
{
public:
  /**
   * How long the latest pull is waited for before another peer is asked. A pull
   * takes some milliseconds between hosts that are not overloaded.
   */
  static constexpr Duration kPatience = std::chrono::milliseconds(150);
  /**
   * The number of pulls at a time. With fewer, some silent peers would keep
   * back a change for the time limit of a pull.
   */
  static constexpr std::size_t kMaxPulls = 4;

  /** Notes the positions that aPeer has reached. */
  void NotePeer(const PeerAddress& aPeer,
                const std::vector<StorePosition>& aPositions,
                TimePoint aNow);

  /**
   * Returns a peer to pull from now, which counts as asked from then on, or
   * nothing if no peer is ahead of aReached or enough are being asked.
   */
  std::optional<PeerAddress> Begin(const std::vector<StorePosition>& aReached,
                                   TimePoint aNow);

  /** The pull from aHost has ended. */
  void End(const HostId& aHost, bool aSucceeded, TimePoint aNow);

  /** The positions that aHost has reported; empty if it is not known. */
  std::vector<StorePosition> PositionsOf(const HostId& aHost) const;

private:
  struct Source
  {
    PeerAddress address;
    std::vector<StorePosition> positions;
    TimePoint heardAt;
    /** Set while a pull is running. */
    std::optional<TimePoint> askedAt;
    std::optional<TimePoint> failedAt;
  };

  bool MayBeginAnother(TimePoint aNow) const;
  void Forget(TimePoint aNow);

  std::map<HostId, Source> sources_;
};

} // namespace lacewing

#endif // FLEET_PULLPLAN_H
