#include "balance/RecentHosts.h"

#include <algorithm>
#include <limits>

namespace lacewing {

namespace {

// Hosts that became unresponsive receive heartbeats for as long, so that after
// a network partition both sides find each other again.
constexpr Duration kMemory = std::chrono::seconds(120);
// A started host hears its zone within 2 s and the other zones' digests within
// half a second after that.
constexpr Duration kTimeToKnow = std::chrono::seconds(3);

} // namespace

RecentHosts::RecentHosts(TimePoint aStart)
  : start_(aStart)
{
}

void RecentHosts::Update(TimePoint aNow, unsigned aHosts)
{
  while (!entries_.empty() && entries_.back().hosts <= aHosts) {
    entries_.pop_back();
  }
  entries_.push_back({ aHosts, aNow });
  while (entries_.front().lastSeen + kMemory < aNow) {
    entries_.pop_front();
  }
}

unsigned RecentHosts::Most() const
{
  return entries_.empty() ? 1 : std::max(1U, entries_.front().hosts);
}

bool RecentHosts::Known(TimePoint aNow) const
{
  return start_ + kTimeToKnow <= aNow;
}

unsigned RecentHosts::Sharing(TimePoint aNow, std::size_t aTargets) const
{
  if (Known(aNow)) {
    return Most();
  }
  constexpr std::size_t kLargest = std::numeric_limits<unsigned>::max();
  return std::max(Most(), static_cast<unsigned>(std::min(aTargets, kLargest)));
}

} // namespace lacewing
