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

/** Which requests go where, and how they are treated. */
struct RouteSpec
{
  RouteName name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string pathPrefix;
  RequestClass requestClass = RequestClass::kNonIdempotent;
  /** The longest time that a request is kept waiting. */
  Duration timeout = std::chrono::seconds(1);
  /** An answer within it is worth most. */
  Duration latencyObjective = std::chrono::seconds(1);
  /** To how many targets one request may be sent. */
  unsigned maxAttempts = 1;
  Priority priority;
  std::vector<ServiceShare> shares;
};

} // namespace lacewing

#endif // CATALOG_ROUTESPEC_H
