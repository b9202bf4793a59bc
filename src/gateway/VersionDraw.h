#ifndef GATEWAY_VERSIONDRAW_H
#define GATEWAY_VERSIONDRAW_H

#include "gateway/FoundTarget.h"
#include "gateway/TrafficState.h"

#include <optional>

namespace lacewing {

/** Which version's targets one request may be sent to during a rollout. */
class VersionDraw
{
public:
  /**
   * Draws once whether the request belongs to the share of the new version.
   * Does nothing for a service without an order.
   */
  void Draw(TrafficState& aState, const ServiceId& aService);

  /**
   * Whether the next search is for a canary target. True at most once, so that
   * retries, hedges and requests that found no good canary target go to the
   * usual ones.
   */
  bool TakesCanary(TrafficState& aState, const ServiceId& aService);

  /**
   * Whether a search must be repeated among the usual targets: it was for a
   * canary target and found none, or requests may no longer be sent to the one
   * that it found, which is then returned to the pool. Reads the clock, since
   * the permission may have expired during the search.
   */
  bool SearchesAgain(TrafficState& aState, std::optional<FoundTarget>& aFound);

private:
  /** Whether a target found by an earlier search may still get the request. */
  static bool MaySend(TrafficState& aState, const TargetSpec& aTarget);

  bool drawn_ = false;
  /** The search in progress is for a canary target. */
  bool searchesCanary_ = false;
  /** Limits repeated searches while snapshots change one after the other. */
  unsigned repeats_ = 0;
};

} // namespace lacewing

#endif // GATEWAY_VERSIONDRAW_H
