#ifndef FLEET_ZONELOADRELAY_H
#define FLEET_ZONELOADRELAY_H

#include "fleet/ZoneDigest.h"
#include "lacewing/Clock.h"
#include "spill/ZoneLoad.h"
#include "spill/ZoneReport.h"

#include <map>
#include <utility>
#include <vector>

namespace lacewing {

/**
 * The zones' loads that digests carry: holds this zone's and the newest ones of
 * other zones. Until it is enabled it holds nothing and adds nothing to
 * digests.
 */
class ZoneLoadRelay
{
public:
  using Page = std::vector<ZoneDigest>;

  void Enable() { enabled_ = true; }

  /** Sets this zone's loads, whose ages are those at aNow. */
  void SetOwn(const std::vector<ZoneLoad>& aLoads, TimePoint aNow);

  /** Keeps the loads in another zone's digest that are newer than held ones. */
  void Merge(const ZoneDigest& aDigest, TimePoint aNow);

  /** The other zones' loads that have not timed out, with their ages. */
  std::vector<ZoneReport> Received(TimePoint aNow) const;

  /**
   * Distributes this zone's loads over copies of aOwn, one page a datagram; at
   * least one page.
   */
  std::vector<Page> OwnPages(const ZoneDigest& aOwn, TimePoint aNow) const;

  /**
   * As OwnPages, for the digests of other zones that a speaker forwards within
   * its zone. Loads that were forwarded before are left out.
   */
  std::vector<Page> ForwardPages(const std::vector<ZoneDigest>& aDigests,
                                 TimePoint aNow);

private:
  struct Entry
  {
    ZoneLoad load;
    TimePoint measuredAt;
    bool forwarded = false;
  };
  using Key = std::pair<ZoneId, ServiceId>;

  bool enabled_ = false;
  std::vector<Entry> own_;
  std::map<Key, Entry> others_;
};

} // namespace lacewing

#endif // FLEET_ZONELOADRELAY_H
