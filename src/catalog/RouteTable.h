#ifndef CATALOG_ROUTETABLE_H
#define CATALOG_ROUTETABLE_H

#include "catalog/CallerLimits.h"
#include "catalog/CustomerTable.h"
#include "catalog/RouteSpec.h"
#include "catalog/ServiceSpec.h"
#include "lacewing/ConfigVersion.h"
#include "lacewing/Outcome.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/**
 * The routes, services and customers of one configuration version; immutable.
 */
class RouteTable
{
public:
  /**
   * Fails if a route has no service with a positive weight, or its prefix does
   * not begin and end with a slash. Without aCustomers requests need no keys.
   */
  static Outcome<std::shared_ptr<const RouteTable>> Make(
    ConfigVersion aVersion,
    std::vector<RouteSpec> aRoutes,
    const std::vector<ServiceSpec>& aServices,
    const CallerLimits& aLimits,
    std::optional<std::vector<CustomerSpec>> aCustomers = std::nullopt);

  ConfigVersion Version() const { return version_; }
  const CallerLimits& Limits() const { return limits_; }
  /** The lowest urgency that a request can have. */
  Priority LeastUrgent() const { return leastUrgent_; }
  std::size_t RouteCount() const { return routes_.size(); }

  /**
   * Returns the route of aHost with the longest prefix of aTarget, which is the
   * request's path and query; null if there is none. aHost may include a port.
   */
  const RouteSpec* Find(std::string_view aHost, std::string_view aTarget) const;

  /** Returns null if the configuration does not define the service. */
  const ServiceSpec* Service(const ServiceId& aService) const;

  /** Whether requests on routes that are not public need a customer's key. */
  bool NeedsKeys() const { return needsKeys_; }
  /** Empty for a configuration without customers. */
  const CustomerTable& Customers() const { return customers_; }
  /** Returns null if the configuration does not define the customer. */
  const CustomerSpec* Customer(const CustomerId& aCustomer) const
  {
    return customers_.Find(aCustomer);
  }

private:
  RouteTable() = default;
  Priority LowestUrgency() const;

  ConfigVersion version_;
  CallerLimits limits_;
  Priority leastUrgent_;
  std::vector<RouteSpec> routes_;
  /** By lower-case host name; the routes with the longest prefixes first. */
  std::unordered_map<std::string, std::vector<const RouteSpec*>> byHost_;
  std::map<ServiceId, ServiceSpec> services_;
  bool needsKeys_ = false;
  CustomerTable customers_;
};

} // namespace lacewing

#endif // CATALOG_ROUTETABLE_H
