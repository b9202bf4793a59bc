#include "balance/HedgeRule.h"

namespace lacewing {

namespace {

// Multiples of the usual work: at the first one a target that was seen to be
// slowed, at the second one any target is left behind.
constexpr double kSlowTargetFactor = 1.15;
constexpr double kAnyTargetFactor = 1.8;
// Readings from this slowdown on make a target look stuck.
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
