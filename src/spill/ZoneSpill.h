#ifndef SPILL_ZONESPILL_H
#define SPILL_ZONESPILL_H

#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"
#include "spill/SpillShare.h"
#include "spill/ZoneCost.h"
#include "spill/ZoneReport.h"

#include <deque>
#include <map>
#include <vector>

namespace lacewing {

/** Reports older than this are not used. */
constexpr Duration kZoneLoadTimeout = std::chrono::seconds(2);

/**
 * Decides which part of the requests of one zone's callers for one service goes
 * to which other zones. All zones decide at the same time, on reports that are
 * up to a second old and were made under earlier decisions.
 */
class ZoneSpill
{
public:
  ZoneSpill(const ZoneId& aOwnZone, const ZoneCost& aCost);

  /**
   * Decides anew; to be called at most each 500 ms. aReports are the newest
   * reports of all zones in service, with their present ages; aBytes is the
   * mean size of a request with its response. Without a recent report of the
   * own zone nothing is sent out.
   */
  void Decide(TimePoint aNow,
              const std::vector<ZoneReport>& aReports,
              ByteCount aBytes);

  /** The decision; empty if nothing is sent out. */
  std::vector<SpillShare> Shares() const;
  /** The sum of all shares, 0 to 1. */
  double TotalShare() const;
  /** Own demand as a part of the own slots; 0 without a recent report. */
  double Utilization() const { return utilization_; }

  /**
   * Sets what aOwn, the own zone's report with its present age, says that this
   * zone has in progress in other zones.
   */
  void AddOutflows(TimePoint aNow,
                   const std::vector<ZoneReport>& aReports,
                   ZoneLoad& aOwn) const;

private:
  using ShareMap = std::map<ZoneId, double>;

  /** One earlier decision. */
  struct Past
  {
    TimePoint at;
    ShareMap shares;
  };

  /** The decision under which the requests seen at aTime were sent. */
  const ShareMap& SharesAt(TimePoint aTime) const;
  ShareMap Wanted(const std::vector<ZoneReport>& aReports, Duration aCost);
  /** Moves towards aWanted unless the difference is small. */
  void Step(const ShareMap& aWanted);

  const ZoneId ownZone_;
  const ZoneCost cost_;
  ShareMap shares_;
  /** The newest last; covers the age of reports that are used. */
  std::deque<Past> past_;
  double utilization_ = 0;
};

} // namespace lacewing

#endif // SPILL_ZONESPILL_H
