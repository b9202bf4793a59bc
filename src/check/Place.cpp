#include "check/Place.h"

namespace lacewing {

std::string PlaceOf(const RouteSpec& aRoute)
{
  return "route \"" + aRoute.name.value() + "\"";
}

std::string PlaceOf(const ServiceSpec& aService)
{
  return "service \"" + aService.id.value() + "\"";
}

std::string PlaceOf(const CustomerSpec& aCustomer)
{
  return "customer \"" + aCustomer.id.value() + "\"";
}

} // namespace lacewing
