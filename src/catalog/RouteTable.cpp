#include "catalog/RouteTable.h"

#include "catalog/HostKey.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

bool IsPathPrefix(const std::string& aPrefix)
{
  return !aPrefix.empty() && aPrefix.front() == '/' && aPrefix.back() == '/';
}

Outcome<void> CheckRoute(const RouteSpec& aRoute)
{
  if (!IsPathPrefix(aRoute.pathPrefix)) {
    return Fail(ErrorKind::kInvalidMessage,
                "route \"" + aRoute.name.value() +
                  "\" has the invalid prefix \"" + aRoute.pathPrefix + "\"",
                "begin and end the prefix with a slash");
  }
  double weight = 0;
  for (const ServiceShare& share : aRoute.shares) {
    weight += std::max(share.weight, 0.0);
  }
  if (weight <= 0) {
    return Fail(ErrorKind::kInvalidMessage,
                "route \"" + aRoute.name.value() +
                  "\" has no service with a positive weight",
                "specify a service or a split with a positive weight");
  }
  return outcome::success();
}

} // namespace

Outcome<std::shared_ptr<const RouteTable>> RouteTable::Make(
  ConfigVersion aVersion,
  std::vector<RouteSpec> aRoutes,
  const std::vector<ServiceSpec>& aServices,
  const CallerLimits& aLimits,
  std::optional<std::vector<CustomerSpec>> aCustomers)
{
  for (const RouteSpec& route : aRoutes) {
    BOOST_OUTCOME_TRYV(CheckRoute(route));
  }
  std::shared_ptr<RouteTable> table(new RouteTable);
  table->version_ = aVersion;
  table->limits_ = aLimits;
  table->routes_ = std::move(aRoutes);
  for (const RouteSpec& route : table->routes_) {
    table->byHost_[HostKey(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : table->byHost_) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const RouteSpec* aLeft, const RouteSpec* aRight) {
                       return aLeft->pathPrefix.size() >
                              aRight->pathPrefix.size();
                     });
  }
  for (const ServiceSpec& service : aServices) {
    table->services_[service.id] = service;
  }
  table->needsKeys_ = aCustomers.has_value();
  if (aCustomers) {
    table->customers_ = CustomerTable(std::move(*aCustomers));
  }
  table->leastUrgent_ = table->LowestUrgency();
  return std::shared_ptr<const RouteTable>(std::move(table));
}

Priority RouteTable::LowestUrgency() const
{
  Priority lowest;
  for (const RouteSpec& route : routes_) {
    const bool ofCustomers = needsKeys_ && !route.isPublic;
    lowest =
      std::max(lowest, ofCustomers ? customers_.LeastUrgent() : route.priority);
  }
  return lowest;
}

const RouteSpec* RouteTable::Find(std::string_view aHost,
                                  std::string_view aTarget) const
{
  const auto found = byHost_.find(HostKey(aHost));
  if (found == byHost_.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  for (const RouteSpec* route : found->second) {
    if (path.substr(0, route->pathPrefix.size()) == route->pathPrefix) {
      return route;
    }
  }
  return nullptr;
}

const ServiceSpec* RouteTable::Service(const ServiceId& aService) const
{
  const auto found = services_.find(aService);
  return found == services_.end() ? nullptr : &found->second;
}

} // namespace lacewing
