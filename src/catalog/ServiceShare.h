#ifndef CATALOG_SERVICESHARE_H
#define CATALOG_SERVICESHARE_H

#include "lacewing/ServiceId.h"

namespace lacewing {

/** A service that gets a share of a route's requests. */
struct ServiceShare
{
  ServiceId service;
  /** Weight relative to the other shares of the route. */
  double weight = 1;
};

} // namespace lacewing

#endif // CATALOG_SERVICESHARE_H
