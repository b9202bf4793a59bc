#include "fleet/ZoneTable.h"

#include <algorithm>

namespace lacewing {

namespace {

// Speakers send a digest every 500 ms, and the receiving speakers pass it on
// with their own heartbeats. Several digests in a row must be missing before
// other zones take over the zone's targets.
constexpr Duration kZoneTimeout = std::chrono::milliseconds(2500);
// Network partitions between zones last seconds. The hosts of a zone that is
// unresponsive for longer are assumed to have stopped.
constexpr Duration kMayRunPartitioned = std::chrono::seconds(30);

} // namespace

void ZoneTable::Learn(const ZoneId& aZone)
{
  const auto [entry, added] = zones_.try_emplace(aZone);
  if (added) {
    entry->second.digest.zone = aZone;
    entry->second.at = start_;
  }
}

void ZoneTable::Merge(const ZoneDigest& aDigest, TimePoint aNow)
{
  const TimePoint at = aNow - std::max(aDigest.age, Duration(0));
  Learn(aDigest.zone);
  Entry& entry = zones_[aDigest.zone];
  if (!entry.received || entry.at < at) {
    entry.digest = aDigest;
    entry.digest.loads.clear();
    entry.at = at;
    entry.received = true;
  }
}

bool ZoneTable::IsFresh(const Entry& aEntry, TimePoint aNow) const
{
  return aEntry.at + kZoneTimeout > aNow;
}

std::vector<ZoneDigest> ZoneTable::Fresh(TimePoint aNow) const
{
  std::vector<ZoneDigest> fresh;
  for (const auto& [zone, entry] : zones_) {
    if (entry.received && IsFresh(entry, aNow)) {
      fresh.push_back(entry.digest);
      fresh.back().age = aNow - entry.at;
    }
  }
  return fresh;
}

std::vector<ZoneId> ZoneTable::Alive(TimePoint aNow) const
{
  std::vector<ZoneId> alive;
  for (const auto& [zone, entry] : zones_) {
    if (IsFresh(entry, aNow) && (!entry.received || entry.digest.alive > 0)) {
      alive.push_back(zone);
    }
  }
  return alive;
}

unsigned ZoneTable::UnresponsiveHosts(TimePoint aNow) const
{
  unsigned unresponsive = 0;
  for (const auto& [zone, entry] : zones_) {
    if (!entry.received || entry.at + kMayRunPartitioned < aNow) {
      continue;
    }
    unresponsive += entry.digest.unresponsive;
    unresponsive += IsFresh(entry, aNow) ? 0 : entry.digest.alive;
  }
  return unresponsive;
}

} // namespace lacewing
