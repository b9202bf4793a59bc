#ifndef TESTS_SOAK_ROUTEHISTORY_H
#define TESTS_SOAK_ROUTEHISTORY_H

#include "lacewing/Clock.h"
#include "lacewing/ServiceId.h"

#include <map>
#include <set>
#include <string>

namespace lacewing {

/** Records the services that each route led to, with the start time of each. */
class RouteHistory
{
public:
  /**
   * Records that the store accepted, at aAt, a configuration version in which
   * aPrefix leads to aServices.
   */
  void Add(const std::string& aPrefix,
           const std::set<ServiceId>& aServices,
           TimePoint aAt);

  /** Whether any version recorded so far routes aPrefix to aService. */
  bool EverAllowed(const std::string& aPrefix, const ServiceId& aService) const;

  /**
   * Whether a version that was active at some time in [aFrom, aTo] routes
   * aPrefix to aService.
   */
  bool Allowed(const std::string& aPrefix,
               const ServiceId& aService,
               TimePoint aFrom,
               TimePoint aTo) const;

private:
  std::map<std::string, std::map<TimePoint, std::set<ServiceId>>> versions_;
};

} // namespace lacewing

#endif // TESTS_SOAK_ROUTEHISTORY_H
