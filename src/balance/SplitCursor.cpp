#include "balance/SplitCursor.h"

#include <algorithm>
#include <cassert>

namespace lacewing {

namespace {

bool SameShares(const std::vector<ServiceShare>& aLeft,
                const std::vector<ServiceShare>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const ServiceShare& aOne, const ServiceShare& aOther) {
                      return aOne.service == aOther.service &&
                             aOne.weight == aOther.weight;
                    });
}

} // namespace

const ServiceId& SplitCursor::Next(const std::vector<ServiceShare>& aShares)
{
  assert(!aShares.empty());
  // Credits are in units of the weights, so those of other shares would decide
  // for up to half of the sum of the old weights.
  if (!SameShares(shares_, aShares)) {
    shares_ = aShares;
    credit_.assign(aShares.size(), 0);
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < aShares.size(); ++i) {
    credit_[i] += aShares[i].weight;
    total += aShares[i].weight;
    if (credit_[i] > credit_[best]) {
      best = i;
    }
  }
  credit_[best] -= total;
  return aShares[best].service;
}

} // namespace lacewing
