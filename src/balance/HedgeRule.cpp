#include "balance/HedgeRule.h"

namespace lacewing {

namespace {

// Multiples of the usual service time after which a request is hedged: the
// first one if the target is likely stuck, the second one for any target.
constexpr double kSlowTargetFactor = 1.15;
constexpr double kAnyTargetFactor = 1.8;
// A target with at least this slowdown counts as stuck.
constexpr unsigned kStuckPercent = 150;

Duration Scale(Duration aWork, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aWork * aFactor);
}

} // namespace

Duration HedgeAfter(Duration aUsualServiceTime)
{
  return Scale(aUsualServiceTime, kSlowTargetFactor);
}

Duration UnconditionalHedgeAfter(Duration aUsualServiceTime)
{
  return Scale(aUsualServiceTime, kAnyTargetFactor);
}

bool IsLikelyStuck(unsigned aSlowdownPercent)
{
  return aSlowdownPercent >= kStuckPercent;
}

} // namespace lacewing
