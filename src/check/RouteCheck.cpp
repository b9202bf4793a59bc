#include "check/RouteCheck.h"

#include "catalog/HostKey.h"
#include "check/Place.h"
#include "core/UnitText.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace lacewing {

namespace {

bool IsPrefix(const std::string& aPrefix)
{
  return !aPrefix.empty() && aPrefix.front() == '/' && aPrefix.back() == '/';
}

void CheckPrefix(const RouteSpec& aRoute, Findings& aFindings)
{
  if (!IsPrefix(aRoute.pathPrefix)) {
    aFindings.push_back({ FindingSeverity::kError,
                          PlaceOf(aRoute),
                          "the prefix \"" + aRoute.pathPrefix +
                            "\" does not begin and end with a slash",
                          "hosts refuse the configuration; correct it" });
  }
}

void CheckShares(const RouteSpec& aRoute,
                 const std::set<ServiceId>& aServices,
                 Findings& aFindings)
{
  double weight = 0;
  for (const ServiceShare& share : aRoute.shares) {
    weight += std::max(share.weight, 0.0);
    if (aServices.count(share.service) == 0) {
      aFindings.push_back(
        { FindingSeverity::kError,
          PlaceOf(aRoute),
          "the service \"" + share.service.value() + "\" is not defined",
          "define it, or name another service" });
    }
  }
  if (weight <= 0) {
    aFindings.push_back({ FindingSeverity::kError,
                          PlaceOf(aRoute),
                          "no service has a positive weight",
                          "hosts refuse the configuration; name a service" });
  }
}

void CheckTimes(const RouteSpec& aRoute, Findings& aFindings)
{
  if (aRoute.latencyObjective > aRoute.timeout) {
    aFindings.push_back(
      { FindingSeverity::kError,
        PlaceOf(aRoute),
        "the latency objective of " + FormatDuration(aRoute.latencyObjective) +
          " is above the timeout of " + FormatDuration(aRoute.timeout),
        "lower the objective or raise the timeout" });
  }
}

} // namespace

void CheckRoutes(const ConfigurationSpec& aSpec, Findings& aFindings)
{
  std::set<ServiceId> services;
  for (const ServiceSpec& service : aSpec.services) {
    services.insert(service.id);
  }
  std::set<RouteName> names;
  std::map<std::pair<std::string, std::string>, const RouteSpec*> matched;
  for (const RouteSpec& route : aSpec.routes) {
    if (!names.insert(route.name).second) {
      aFindings.push_back(
        { FindingSeverity::kError,
          PlaceOf(route),
          "an earlier route has the same name",
          "rename one of them; their figures cannot be told apart" });
    }
    const auto [first, isNew] = matched.emplace(
      std::make_pair(HostKey(route.host), route.pathPrefix), &route);
    if (!isNew) {
      aFindings.push_back({ FindingSeverity::kError,
                            PlaceOf(route),
                            "never matches: " + PlaceOf(*first->second) +
                              " has the same host and prefix",
                            "remove one of them" });
    }
    CheckPrefix(route, aFindings);
    CheckShares(route, services, aFindings);
    CheckTimes(route, aFindings);
  }
}

} // namespace lacewing
