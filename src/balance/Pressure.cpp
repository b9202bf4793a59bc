#include "balance/Pressure.h"

namespace lacewing {

namespace {

// Load shifts within milliseconds; some ten searches of a host count.
constexpr Duration kHalfLife = std::chrono::milliseconds(700);
constexpr double kMostCounted = 1000;
// A few searches that find no good target are luck; a fifth of them are not.
constexpr double kHighShare = 0.2;
constexpr double kLeastSearches = 2;

} // namespace

Pressure::Pressure()
  : good_(kHalfLife)
  , noneGood_(kHalfLife)
{
}

void Pressure::OnGood(TimePoint aNow)
{
  good_.Add(aNow, 1, kMostCounted);
}

void Pressure::OnNoneGood(TimePoint aNow)
{
  noneGood_.Add(aNow, 1, kMostCounted);
}

bool Pressure::High(TimePoint aNow) const
{
  const double noneGood = noneGood_.At(aNow);
  const double all = noneGood + good_.At(aNow);
  return all >= kLeastSearches && noneGood > kHighShare * all;
}

} // namespace lacewing
