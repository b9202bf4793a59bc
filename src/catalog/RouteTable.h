#ifndef CATALOG_ROUTETABLE_H
#define CATALOG_ROUTETABLE_H

#include "catalog/CallerLimits.h"
#include "catalog/RouteSpec.h"
#include "catalog/ServiceSpec.h"
#include "lacewing/ConfigVersion.h"
#include "lacewing/Outcome.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/** One version of the configuration; never changes. */
class RouteTable
{
public:
  /** Fails when a route names no service or its prefix is not a path. */
  static Outcome<std::shared_ptr<const RouteTable>> Make(
    ConfigVersion aVersion,
    std::vector<RouteSpec> aRoutes,
    const std::vector<ServiceSpec>& aServices,
    const CallerLimits& aLimits);

  ConfigVersion Version() const { return version_; }
  const CallerLimits& Limits() const { return limits_; }
  /** The priority of the least urgent routes. */
  Priority LeastUrgent() const { return leastUrgent_; }
  std::size_t RouteCount() const { return routes_.size(); }

  /**
   * The route of aHost whose prefix is the longest that begins aTarget (path
   * and query); null when there is none. aHost may carry a port.
   */
  const RouteSpec* Find(std::string_view aHost, std::string_view aTarget) const;

  /** Null when the configuration does not name the service. */
  const ServiceSpec* Service(const ServiceId& aService) const;

private:
  RouteTable() = default;

  ConfigVersion version_;
  CallerLimits limits_;
  Priority leastUrgent_;
  std::vector<RouteSpec> routes_;
  /** By host in lower case; the longest prefixes first. */
  std::unordered_map<std::string, std::vector<const RouteSpec*>> byHost_;
  std::map<ServiceId, ServiceSpec> services_;
};

} // namespace lacewing

#endif // CATALOG_ROUTETABLE_H
