#include "soak/RouteHistory.h"

#include <algorithm>

namespace lacewing {

void RouteHistory::Add(ConfigVersion aVersion,
                       const std::string& aPrefix,
                       const ServiceId& aService,
                       TimePoint aAt)
{
  entries_[aPrefix].push_back({ aVersion, aService, aAt, aAt });
}

void RouteHistory::Delay(TimePoint aAfter, TimePoint aDue)
{
  for (auto& [prefix, entries] : entries_) {
    for (Entry& entry : entries) {
      if (entry.at > aAfter) {
        entry.due = std::max(entry.due, aDue);
      }
    }
  }
}

bool RouteHistory::EverAllowed(const std::string& aPrefix,
                               const ServiceId& aService) const
{
  return AllowedSince(ConfigVersion(), aPrefix, aService);
}

bool RouteHistory::Allowed(const std::string& aPrefix,
                           const ServiceId& aService,
                           TimePoint aFrom,
                           TimePoint aTo) const
{
  const auto route = entries_.find(aPrefix);
  if (route == entries_.end()) {
    return false;
  }
  const auto& entries = route->second;
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    if (entry->at <= aTo && entry->service == aService) {
      return true;
    }
    if (entry->due <= aFrom) {
      return false;
    }
  }
  return false;
}

bool RouteHistory::AllowedSince(ConfigVersion aVersion,
                                const std::string& aPrefix,
                                const ServiceId& aService) const
{
  const auto route = entries_.find(aPrefix);
  return route != entries_.end() &&
         std::any_of(route->second.begin(),
                     route->second.end(),
                     [&](const Entry& aEntry) {
                       return aEntry.version >= aVersion &&
                              aEntry.service == aService;
                     });
}

bool RouteHistory::Due(const std::string& aPrefix, TimePoint aAt) const
{
  const auto route = entries_.find(aPrefix);
  return route != entries_.end() && route->second.front().due <= aAt;
}

} // namespace lacewing
