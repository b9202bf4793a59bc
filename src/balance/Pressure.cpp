#include "balance/Pressure.h"

namespace lacewing {

namespace {

// Load shifts within milliseconds; some ten searches of a host count.
constexpr Duration kHalfLife = std::chrono::milliseconds(700);
constexpr double kMaxCount = 1000;
// A few searches that find no good target are luck; a fifth of them are not.
constexpr double kHighShare = 0.2;
constexpr double kMinSearches = 2;

} // namespace

Pressure::Pressure()
  : goodSearches_(kHalfLife)
  , failedSearches_(kHalfLife)
{
}

void Pressure::OnGoodTarget(TimePoint aNow)
{
  goodSearches_.Add(aNow, 1, kMaxCount);
}

void Pressure::OnNoGoodTarget(TimePoint aNow)
{
  failedSearches_.Add(aNow, 1, kMaxCount);
}

bool Pressure::IsHigh(TimePoint aNow) const
{
  const double failedSearches = failedSearches_.At(aNow);
  const double all = failedSearches + goodSearches_.At(aNow);
  return all >= kMinSearches && failedSearches > kHighShare * all;
}

} // namespace lacewing
