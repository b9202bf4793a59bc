#include "fleet/OwnerProbePacing.h"

#include "balance/ProbeShare.h"

#include <algorithm>

namespace lacewing {

bool OwnerProbePacing::Due(const ProbeLimits& aLimits,
                           unsigned aAlive,
                           TimePoint aNow)
{
  // The sum of fractions may stay a little below 1.
  constexpr double kRounding = 1e-9;
  hosts_.Update(aNow, aAlive);
  ProbeShare share;
  share.hosts = hosts_.Most();
  share.alive = aAlive;
  share.provisional = !hosts_.Known(aNow);
  due_ += OwnerProbeFraction(aLimits, share);
  if (due_ < 1 - kRounding) {
    return false;
  }
  due_ = std::max(0.0, due_ - 1);
  return true;
}

} // namespace lacewing
