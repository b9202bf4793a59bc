#include "soak/RouteHistory.h"

#include <algorithm>

namespace lacewing {

void RouteHistory::Add(const std::string& aPrefix,
                       const std::set<ServiceId>& aServices,
                       TimePoint aAt)
{
  versions_[aPrefix][aAt] = aServices;
}

bool RouteHistory::EverAllowed(const std::string& aPrefix,
                               const ServiceId& aService) const
{
  const auto route = versions_.find(aPrefix);
  return route != versions_.end() &&
         std::any_of(route->second.begin(),
                     route->second.end(),
                     [&aService](const auto& aVersion) {
                       return aVersion.second.count(aService) > 0;
                     });
}

bool RouteHistory::Allowed(const std::string& aPrefix,
                           const ServiceId& aService,
                           TimePoint aFrom,
                           TimePoint aTo) const
{
  const auto route = versions_.find(aPrefix);
  if (route == versions_.end()) {
    return false;
  }
  auto version = route->second.upper_bound(aFrom);
  if (version != route->second.begin()) {
    --version;
  }
  for (; version != route->second.end() && version->first <= aTo; ++version) {
    if (version->second.count(aService) > 0) {
      return true;
    }
  }
  return false;
}

} // namespace lacewing
