#ifndef TESTS_SOAK_ROUTEHISTORY_H
#define TESTS_SOAK_ROUTEHISTORY_H

#include "lacewing/Clock.h"
#include "lacewing/ServiceId.h"

#include <map>
#include <set>
#include <string>

namespace lacewing {

/** Which services each route has had, and from when on. */
class RouteHistory
{
public:
  /** The store has taken a version in which aPrefix goes to aServices. */
  void Add(const std::string& aPrefix,
           const std::set<ServiceId>& aServices,
           TimePoint aAt);

  bool EverAllowed(const std::string& aPrefix, const ServiceId& aService) const;

  /** Whether a version in force at some time in [aFrom, aTo] allows it. */
  bool Allowed(const std::string& aPrefix,
               const ServiceId& aService,
               TimePoint aFrom,
               TimePoint aTo) const;

private:
  std::map<std::string, std::map<TimePoint, std::set<ServiceId>>> versions_;
};

} // namespace lacewing

#endif // TESTS_SOAK_ROUTEHISTORY_H
