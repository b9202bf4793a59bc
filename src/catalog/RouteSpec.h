#ifndef CATALOG_ROUTESPEC_H
#define CATALOG_ROUTESPEC_H

#include "catalog/RequestClass.h"
#include "catalog/ServiceShare.h"
#include "lacewing/Clock.h"
#include "lacewing/Priority.h"
#include "lacewing/RouteName.h"

#include <string>
#include <vector>

namespace lacewing {

/** Which requests a route matches, and how and where they are sent. */
struct RouteSpec
{
  RouteName name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string pathPrefix;
  RequestClass requestClass = RequestClass::kNonIdempotent;
  /** Maximum time until the caller gets a response. */
  Duration timeout = std::chrono::seconds(1);
  /** A response within this time has the most value. */
  Duration latencyObjective = std::chrono::seconds(1);
  /** Maximum number of targets that one request is sent to. */
  unsigned maxAttempts = 1;
  /** Of requests without a customer. */
  Priority priority;
  /** Whether requests need no key where the configuration has customers. */
  bool isPublic = false;
  std::vector<ServiceShare> shares;
};

} // namespace lacewing

#endif // CATALOG_ROUTESPEC_H
