#ifndef FLEET_ZONETABLE_H
#define FLEET_ZONETABLE_H

#include "fleet/ZoneDigest.h"

#include <map>
#include <vector>

namespace lacewing {

/** The other zones, as known from the digests that their speakers send. */
class ZoneTable
{
public:
  explicit ZoneTable(TimePoint aStart)
    : start_(aStart)
  {
  }

  /** Adds a zone of which a host became known. */
  void Learn(const ZoneId& aZone);

  /**
   * Stores aDigest without its loads if it is newer than the one stored for its
   * zone.
   */
  void Merge(const ZoneDigest& aDigest, TimePoint aNow);

  /** Digests that have not timed out, with their current ages. */
  std::vector<ZoneDigest> Fresh(TimePoint aNow) const;

  /**
   * Zones that have hosts which take tasks. Shortly after the start of this
   * host also zones from which no digest has arrived yet.
   */
  std::vector<ZoneId> Alive(TimePoint aNow) const;

  /**
   * Number of hosts of other zones that are unresponsive, themselves or with
   * their zone, and may still run behind a network partition.
   */
  unsigned UnresponsiveHosts(TimePoint aNow) const;

private:
  struct Entry
  {
    ZoneDigest digest;
    /**
     * When the digest was made; the start of this host if none was received.
     */
    TimePoint at;
    bool received = false;
  };

  bool IsFresh(const Entry& aEntry, TimePoint aNow) const;

  TimePoint start_;
  std::map<ZoneId, Entry> zones_;
};

} // namespace lacewing

#endif // FLEET_ZONETABLE_H
