#ifndef SPILL_SPILLDRAW_H
#define SPILL_SPILLDRAW_H

#include "core/SnapshotCell.h"
#include "spill/SpillPlan.h"
#include "spill/SpillUsage.h"

#include <cstdint>
#include <random>

namespace lacewing {

/**
 * Draws for each request whether it leaves this host's zone, and counts the
 * draws. Used by the traffic thread only.
 */
class SpillDraw
{
public:
  /**
   * aUsage receives the totals about twice a second; null if they are not
   * needed.
   */
  SpillDraw(std::uint64_t aSeed, SnapshotCell<SpillUsage>* aUsage);

  /**
   * Returns the zone whose targets come first for a request for aService, or an
   * empty id if they are ranked as usual. aPlan is null while zones' loads are
   * not exchanged. aBytes is the size of the request with its usual response.
   */
  ZoneId Next(const SpillPlan* aPlan,
              const ServiceId& aService,
              ByteCount aBytes,
              TimePoint aNow);

private:
  ZoneId DrawFrom(const SpillPlan& aPlan, const ServiceId& aService);

  std::minstd_rand random_;
  SnapshotCell<SpillUsage>* const published_;
  SpillUsage usage_;
  TimePoint publishedAt_;
};

} // namespace lacewing

#endif // SPILL_SPILLDRAW_H
