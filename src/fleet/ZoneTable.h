#ifndef FLEET_ZONETABLE_H
#define FLEET_ZONETABLE_H

#include "fleet/ZoneDigest.h"

#include <map>
#include <vector>

namespace lacewing {

/** The other zones, by the digests that their speakers send. */
class ZoneTable
{
public:
  explicit ZoneTable(TimePoint aStart)
    : start_(aStart)
  {
  }

  /** A list names a host of the zone. */
  void Learn(const ZoneId& aZone);

  /** Keeps the newer of two digests. */
  void Merge(const ZoneDigest& aDigest, TimePoint aNow);

  /** Digests that are new enough, with their ages. */
  std::vector<ZoneDigest> Fresh(TimePoint aNow) const;

  /** Zones with hosts that take tasks, or that may have some. */
  std::vector<ZoneId> Alive(TimePoint aNow) const;

  /** Hosts of other zones that may run behind a cut. */
  unsigned UnresponsiveHosts(TimePoint aNow) const;

private:
  struct Entry
  {
    ZoneDigest digest;
    /** When the digest was true; the start when none came. */
    TimePoint at;
    bool received = false;
  };

  bool IsFresh(const Entry& aEntry, TimePoint aNow) const;

  TimePoint start_;
  std::map<ZoneId, Entry> zones_;
};

} // namespace lacewing

#endif // FLEET_ZONETABLE_H
