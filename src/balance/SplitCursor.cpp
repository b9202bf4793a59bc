#include "balance/SplitCursor.h"

#include <cassert>

namespace lacewing {

const ServiceId& SplitCursor::Next(const std::vector<ServiceShare>& aShares)
{
  assert(!aShares.empty());
  if (credit_.size() != aShares.size()) {
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
