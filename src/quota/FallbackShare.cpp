#include "quota/FallbackShare.h"

#include <algorithm>

namespace lacewing {

namespace {

// All hosts together may collect the burst and this many tokens while no
// requests come; a part of the slack of 20.
constexpr double kCollected = 6;

} // namespace

bool FallbackShare::Take(const RateLimit& aLimit,
                         unsigned aHosts,
                         double aDraw,
                         TimePoint aNow)
{
  const double hosts = std::max(aHosts, 1U);
  bucket_.SetLimit(
    aLimit.perSecond / hosts, (aLimit.burst + kCollected) / hosts, aNow);
  const double level = bucket_.Level();
  bucket_.Take(TokenCount(1));
  return level >= 1 || aDraw < level;
}

} // namespace lacewing
