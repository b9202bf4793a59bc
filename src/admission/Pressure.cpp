#include "admission/Pressure.h"

namespace lacewing {

namespace {

// Load changes within milliseconds. About the last ten searches of a host
// count.
constexpr Duration kHalfLife = std::chrono::milliseconds(700);
constexpr double kMaxCount = 1000;
// A few searches without a good target are chance; more than a fifth of all
// searches are not.
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
