#include "decision/PickRandom.h"

namespace lacewing {

std::optional<std::size_t> PickRandom(const RoutingContext& aContext,
                                      std::optional<std::size_t> aExcept)
{
  const std::size_t count = aContext.targets.size();
  if (count == 0) {
    return std::nullopt;
  }
  // Random tries are uniform and find a target at once in the usual case.
  constexpr int kTries = 4;
  for (int i = 0; i < kTries; ++i) {
    const std::size_t index = aContext.random() % count;
    if (index != aExcept && aContext.Allows(index)) {
      return index;
    }
  }
  const std::size_t start = aContext.random() % count;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (start + i) % count;
    if (index != aExcept && aContext.Allows(index)) {
      return index;
    }
  }
  return aExcept && aContext.Allows(*aExcept) ? aExcept : std::nullopt;
}

} // namespace lacewing
