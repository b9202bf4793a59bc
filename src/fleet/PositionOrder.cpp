#include "fleet/PositionOrder.h"

#include <algorithm>
#include <cstddef>

namespace lacewing {

bool IsAhead(const std::vector<StorePosition>& aPositions,
             const std::vector<StorePosition>& aReached)
{
  const std::size_t kinds = std::min(aPositions.size(), aReached.size());
  for (std::size_t kind = 0; kind < kinds; ++kind) {
    if (aPositions[kind] > aReached[kind]) {
      return true;
    }
  }
  return false;
}

} // namespace lacewing
