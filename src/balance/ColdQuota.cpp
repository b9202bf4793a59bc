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
  const double limit = aWarmUpRate * aLimits.overshoot + aLimits.slack;
  const double share = limit / (kPossibleOwners + aUnresponsiveHosts);
  return static_cast<unsigned>(std::floor(std::max(share, 0.0)));
}

} // namespace lacewing
