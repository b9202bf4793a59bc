#include "balance/ColdQuota.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

unsigned ColdQuota(const ColdTerms& aTerms,
                   double aWarmUpRate,
                   unsigned aSilentHosts)
{
  constexpr double kPossibleOwners = 2;
  const double bearable = aWarmUpRate * aTerms.overshoot + aTerms.slack;
  const double share = bearable / (kPossibleOwners + aSilentHosts);
  return static_cast<unsigned>(std::floor(std::max(share, 0.0)));
}

} // namespace lacewing
