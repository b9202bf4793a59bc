#include "rollout/DirectivePrecedence.h"

#include <tuple>

namespace lacewing {

namespace {

// A rejection's step and share say nothing: share 0 is in force.
auto Rank(const RolloutDirective& aDirective)
{
  return std::make_tuple(aDirective.Verdict() == RolloutVerdict::kRejected,
                         aDirective.step,
                         aDirective.verdict);
}

} // namespace

bool TakesPrecedence(const RolloutDirective& aLeft,
                     const RolloutDirective& aRight)
{
  const auto left = Rank(aLeft);
  const auto right = Rank(aRight);
  return left != right ? left > right
                       : aLeft.shareBasisPoints < aRight.shareBasisPoints;
}

} // namespace lacewing
