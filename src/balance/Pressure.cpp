#include "balance/Pressure.h"

namespace lacewing {

namespace {

// Load shifts within milliseconds; some ten searches of a host count.
constexpr Duration kHalfLife = std::chrono::milliseconds(700);
constexpr double kMostCounted = 1000;
// A few searches without room are luck; a fifth of them are not.
constexpr double kHighShare = 0.2;
constexpr double kLeastSearches = 2;

} // namespace

Pressure::Pressure()
  : found_(kHalfLife)
  , noRoom_(kHalfLife)
{
}

void Pressure::OnFound(TimePoint aNow)
{
  found_.Add(aNow, 1, kMostCounted);
}

void Pressure::OnNoRoom(TimePoint aNow)
{
  noRoom_.Add(aNow, 1, kMostCounted);
}

bool Pressure::High(TimePoint aNow) const
{
  const double noRoom = noRoom_.At(aNow);
  const double all = noRoom + found_.At(aNow);
  return all >= kLeastSearches && noRoom > kHighShare * all;
}

} // namespace lacewing
