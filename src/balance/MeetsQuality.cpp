#include "balance/MeetsQuality.h"

#include <algorithm>

namespace lacewing {

namespace {

// A target within these limits of slowdown and used slots is good: it is taken
// without waiting for other probes.
constexpr unsigned kQuietPercent = 130;
constexpr double kGoodBusy = 0.8;

} // namespace

bool MeetsQuality(TargetQuality aDemand,
                  ReadingState aState,
                  const Choice& aChoice,
                  SlotCount aSlots)
{
  const double slots = aSlots.value();
  const bool quiet = aState == ReadingState::kServing &&
                     aChoice.slowdownPercent <= kQuietPercent;
  switch (aDemand) {
    case TargetQuality::kAny:
      return aChoice.busy < slots;
    case TargetQuality::kQuiet:
      return quiet && aChoice.busy < slots;
    case TargetQuality::kGood:
      return quiet && aChoice.busy + 1 <= std::max(1.0, slots * kGoodBusy);
  }
  return false;
}

} // namespace lacewing
