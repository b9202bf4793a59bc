#include "rollout/VersionComparison.h"

#include <algorithm>

namespace lacewing {

namespace {

// Probability with which chance rejects a good version, for each time that its
// score leaves zero.
constexpr double kRejectErrorRate = 0.001;
// A route with less of the attempts gets too few for a proof of its own.
constexpr double kMinRouteShare = 0.1;

} // namespace

void VersionComparison::OnGrowth(TimePoint aNow,
                                 const RolloutEvidence& aGrowth,
                                 unsigned aNewTargets,
                                 bool aOldInUse)
{
  RouteEvidence sum;
  for (const RouteEvidence& route : aGrowth.routes) {
    routes_[route.route].OnAttempts(aNow, route, aNewTargets, aOldInUse);
    sum.oldCount += route.oldCount;
    sum.oldBad += route.oldBad;
    sum.newCount += route.newCount;
    sum.newBad += route.newBad;
  }
  all_.OnAttempts(aNow, sum, aNewTargets, aOldInUse);
}

std::optional<std::uint32_t> VersionComparison::BadRoute() const
{
  const double rate = Part(kRejectErrorRate);
  for (const auto& route : routes_) {
    if (route.second.Rejects(rate)) {
      return route.first;
    }
  }
  return all_.Rejects(rate) ? std::optional(kAllRoutes) : std::nullopt;
}

bool VersionComparison::Accepts(double aErrorRate) const
{
  const double rate = Part(aErrorRate);
  const double least = all_.Seen() * kMinRouteShare;
  return all_.Accepts(rate) &&
         std::all_of(routes_.begin(), routes_.end(), [&](const auto& aRoute) {
           return aRoute.second.Seen() < least || aRoute.second.Accepts(rate);
         });
}

double VersionComparison::Part(double aErrorRate) const
{
  return aErrorRate / std::max<std::size_t>(1, routes_.size());
}

} // namespace lacewing
