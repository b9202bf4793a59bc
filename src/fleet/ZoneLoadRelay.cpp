#include "fleet/ZoneLoadRelay.h"

#include "spill/ZoneSpill.h"

#include <algorithm>

namespace lacewing {

namespace {

// Loads of a usual service name take up to 60 bytes each, so that a datagram
// stays below a packet of 1,500 bytes.
constexpr std::size_t kLoadsPerPage = 16;

/** Appends digests to pages, each with a limited number of loads. */
class PageWriter
{
public:
  explicit PageWriter(ZoneLoadRelay::Page aFirst)
    : pages_{ std::move(aFirst) }
  {
  }

  /** Adds a load to the digest of aDigest's zone. */
  void Add(const ZoneDigest& aDigest, ZoneLoad aLoad)
  {
    if (count_ == kLoadsPerPage) {
      pages_.emplace_back();
      count_ = 0;
    }
    ZoneLoadRelay::Page& page = pages_.back();
    const auto held = std::find_if(
      page.begin(), page.end(), [&aDigest](const ZoneDigest& aEach) {
        return aEach.zone == aDigest.zone;
      });
    ZoneDigest& digest =
      held == page.end() ? page.emplace_back(aDigest) : *held;
    digest.loads.push_back(std::move(aLoad));
    ++count_;
  }

  std::vector<ZoneLoadRelay::Page> Take() { return std::move(pages_); }

private:
  std::vector<ZoneLoadRelay::Page> pages_;
  std::size_t count_ = 0;
};

ZoneLoad WithAge(const ZoneLoad& aLoad, TimePoint aMeasuredAt, TimePoint aNow)
{
  ZoneLoad load = aLoad;
  load.age = aNow - aMeasuredAt;
  return load;
}

} // namespace

void ZoneLoadRelay::SetOwn(const std::vector<ZoneLoad>& aLoads, TimePoint aNow)
{
  own_.clear();
  for (const ZoneLoad& load : aLoads) {
    own_.push_back({ load, aNow - load.age, false });
  }
}

void ZoneLoadRelay::Merge(const ZoneDigest& aDigest, TimePoint aNow)
{
  if (!enabled_) {
    return;
  }
  for (const ZoneLoad& load : aDigest.loads) {
    const TimePoint at = aNow - std::max(load.age, Duration(0));
    const auto [entry, added] =
      others_.try_emplace({ aDigest.zone, load.service });
    if (added || entry->second.measuredAt < at) {
      entry->second = { load, at, false };
    }
  }
}

std::vector<ZoneReport> ZoneLoadRelay::Received(TimePoint aNow) const
{
  std::vector<ZoneReport> reports;
  for (const auto& [key, entry] : others_) {
    if (entry.measuredAt + kZoneLoadTimeout > aNow) {
      reports.push_back(
        { key.first, WithAge(entry.load, entry.measuredAt, aNow) });
    }
  }
  return reports;
}

std::vector<ZoneLoadRelay::Page> ZoneLoadRelay::OwnPages(const ZoneDigest& aOwn,
                                                         TimePoint aNow) const
{
  PageWriter writer({ aOwn });
  for (const Entry& entry : own_) {
    if (entry.measuredAt + kZoneLoadTimeout > aNow) {
      writer.Add(aOwn, WithAge(entry.load, entry.measuredAt, aNow));
    }
  }
  return writer.Take();
}

std::vector<ZoneLoadRelay::Page> ZoneLoadRelay::ForwardPages(
  const std::vector<ZoneDigest>& aDigests,
  TimePoint aNow)
{
  PageWriter writer(aDigests);
  for (auto each = others_.begin(); each != others_.end();) {
    Entry& entry = each->second;
    if (entry.measuredAt + kZoneLoadTimeout <= aNow) {
      each = others_.erase(each);
      continue;
    }
    const auto digest = std::find_if(
      aDigests.begin(), aDigests.end(), [each](const ZoneDigest& aDigest) {
        return aDigest.zone == each->first.first;
      });
    if (digest != aDigests.end() && !entry.forwarded) {
      entry.forwarded = true;
      writer.Add(*digest, WithAge(entry.load, entry.measuredAt, aNow));
    }
    ++each;
  }
  return writer.Take();
}

} // namespace lacewing
