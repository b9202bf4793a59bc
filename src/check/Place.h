#ifndef CHECK_PLACE_H
#define CHECK_PLACE_H

#include "catalog/CustomerSpec.h"
#include "catalog/RouteSpec.h"
#include "catalog/ServiceSpec.h"

#include <string>

namespace lacewing {

/** How findings name an entry, such as route "r1". */
std::string PlaceOf(const RouteSpec& aRoute);
std::string PlaceOf(const ServiceSpec& aService);
std::string PlaceOf(const CustomerSpec& aCustomer);

} // namespace lacewing

#endif // CHECK_PLACE_H
