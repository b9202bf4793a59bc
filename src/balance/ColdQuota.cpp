#include "balance/ColdQuota.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

unsigned ColdQuota(const ColdStartLimits& aLimits,
                   double aWarmUpRate,
                   unsigned aUnresponsiveHosts)
{
  // The present owner and the previous one.
  constexpr double kPossibleOwners = 2;
  // More would not fit the result.
  constexpr double kMaxQuota = 1e9;
  const double limit = aWarmUpRate * aLimits.overshoot + aLimits.slack;
  const double share = limit / (kPossibleOwners + aUnresponsiveHosts);
  // In this order, a share that is no number gives none.
  return static_cast<unsigned>(
    std::floor(std::min(std::max(0.0, share), kMaxQuota)));
}

} // namespace lacewing
