#include "rollout/CarriedShare.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr double kFullShare = 10000;
// A fifth of the slots stays free.
constexpr double kUsableSlots = 0.8;

} // namespace

BasisPoints CarriedShare(const VersionCapacity& aVersion, double aBusySlots)
{
  const double usable = kUsableSlots * aVersion.slots.value();
  if (usable >= aBusySlots) {
    return BasisPoints(usable > 0 ? static_cast<std::uint32_t>(kFullShare) : 0);
  }
  return BasisPoints(
    static_cast<std::uint32_t>(kFullShare * usable / aBusySlots));
}

} // namespace lacewing
