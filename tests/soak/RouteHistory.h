#ifndef TESTS_SOAK_ROUTEHISTORY_H
#define TESTS_SOAK_ROUTEHISTORY_H

#include "lacewing/Clock.h"
#include "lacewing/ConfigVersion.h"
#include "lacewing/ServiceId.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing {

/** Records the service that each route led to in each configuration version. */
class RouteHistory
{
public:
  /**
   * Records that the store accepted, at aAt, a configuration version in which
   * aPrefix leads to aService.
   */
  void Add(ConfigVersion aVersion,
           const std::string& aPrefix,
           const ServiceId& aService,
           TimePoint aAt);

  /**
   * Hosts need not have learned of versions that were accepted after aAfter
   * until they are due at aDue; nor may they have lost them.
   */
  void Delay(TimePoint aAfter, TimePoint aDue);

  /** Whether any version recorded so far routes aPrefix to aService. */
  bool EverAllowed(const std::string& aPrefix, const ServiceId& aService) const;

  /**
   * Whether a version that may be in use at some time in [aFrom, aTo], by a
   * host that knows all versions that are due at aFrom, routes aPrefix to
   * aService.
   */
  bool Allowed(const std::string& aPrefix,
               const ServiceId& aService,
               TimePoint aFrom,
               TimePoint aTo) const;

  /** Whether aVersion or a later one routes aPrefix to aService. */
  bool AllowedSince(ConfigVersion aVersion,
                    const std::string& aPrefix,
                    const ServiceId& aService) const;

  /** Whether a version with this prefix is due at aAt. */
  bool Due(const std::string& aPrefix, TimePoint aAt) const;

private:
  struct Entry
  {
    ConfigVersion version;
    ServiceId service;
    TimePoint at;
    TimePoint due;
  };

  /** Of each prefix, in the order in which they were accepted. */
  std::map<std::string, std::vector<Entry>> entries_;
};

} // namespace lacewing

#endif // TESTS_SOAK_ROUTEHISTORY_H
