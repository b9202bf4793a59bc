#include "rollout/EvidenceCounts.h"

#include <algorithm>
#include <array>

namespace lacewing {

namespace {

using RouteCount = std::uint32_t RouteEvidence::*;
using TotalCount = std::uint32_t RolloutEvidence::*;

constexpr std::array<RouteCount, 4> kRouteCounts = {
  &RouteEvidence::oldCount,
  &RouteEvidence::oldBad,
  &RouteEvidence::newCount,
  &RouteEvidence::newBad,
};
constexpr std::array<TotalCount, 2> kTotalCounts = {
  &RolloutEvidence::requests,
  &RolloutEvidence::newAttempts,
};

// The entry of all routes that are not listed.
constexpr std::uint32_t kOtherRoutes = 0;

std::uint32_t Growth(std::uint32_t aBefore, std::uint32_t aNow)
{
  return aNow > aBefore ? aNow - aBefore : 0;
}

bool HasMoreAttempts(const RouteEvidence& aLeft, const RouteEvidence& aRight)
{
  return aLeft.oldCount + aLeft.newCount > aRight.oldCount + aRight.newCount;
}

const RouteEvidence* Find(const RolloutEvidence& aEvidence,
                          std::uint32_t aRoute)
{
  for (const RouteEvidence& route : aEvidence.routes) {
    if (route.route == aRoute) {
      return &route;
    }
  }
  return nullptr;
}

RouteEvidence& EntryFor(RolloutEvidence& aSum, std::uint32_t aRoute)
{
  std::size_t listed = 0;
  for (RouteEvidence& route : aSum.routes) {
    if (route.route == aRoute) {
      return route;
    }
    listed += route.route == kOtherRoutes ? 0 : 1;
  }
  if (aRoute != kOtherRoutes && listed >= RolloutEvidence::kMaxRoutes) {
    return EntryFor(aSum, kOtherRoutes);
  }
  aSum.routes.emplace_back();
  aSum.routes.back().route = aRoute;
  return aSum.routes.back();
}

} // namespace

void AddCounts(RolloutEvidence& aSum, const RolloutEvidence& aMore)
{
  for (const TotalCount count : kTotalCounts) {
    aSum.*count += aMore.*count;
  }
  std::vector<RouteEvidence> routes = aMore.routes;
  std::stable_sort(routes.begin(), routes.end(), HasMoreAttempts);
  for (const RouteEvidence& route : routes) {
    RouteEvidence& entry = EntryFor(aSum, route.route);
    for (const RouteCount count : kRouteCounts) {
      entry.*count += route.*count;
    }
  }
}

RolloutEvidence GrowthOf(const RolloutEvidence& aBefore,
                         const RolloutEvidence& aNow)
{
  RolloutEvidence growth = aNow;
  for (const TotalCount count : kTotalCounts) {
    growth.*count = Growth(aBefore.*count, aNow.*count);
  }
  for (RouteEvidence& route : growth.routes) {
    const RouteEvidence* before = Find(aBefore, route.route);
    if (before == nullptr) {
      continue;
    }
    for (const RouteCount count : kRouteCounts) {
      route.*count = Growth(before->*count, route.*count);
    }
  }
  return growth;
}

} // namespace lacewing
