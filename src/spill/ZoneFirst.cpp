#include "spill/ZoneFirst.h"

#include <algorithm>
#include <cstddef>

namespace lacewing {

namespace {

// Number of targets that a search probes in its first round (ProbePlan.cpp).
constexpr std::size_t kFirstTargets = 2;

} // namespace

void RankZoneFirst(const ZoneId& aZone,
                   std::vector<const FleetTarget*>& aRanked)
{
  std::size_t moved = 0;
  for (std::size_t i = 0; i < aRanked.size() && moved < kFirstTargets; ++i) {
    if (aRanked[i]->spec.zone == aZone) {
      const auto front = aRanked.begin() + static_cast<std::ptrdiff_t>(moved++);
      const auto found = aRanked.begin() + static_cast<std::ptrdiff_t>(i);
      std::rotate(front, found, found + 1);
    }
  }
}

} // namespace lacewing
