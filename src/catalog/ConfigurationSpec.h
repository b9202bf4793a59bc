#ifndef CATALOG_CONFIGURATIONSPEC_H
#define CATALOG_CONFIGURATIONSPEC_H

#include "catalog/CallerLimits.h"
#include "catalog/CustomerSpec.h"
#include "catalog/RouteSpec.h"
#include "catalog/ServiceSpec.h"
#include "lacewing/ConfigVersion.h"

#include <optional>
#include <vector>

namespace lacewing {

/** A configuration in the order in which it was written, before any check. */
struct ConfigurationSpec
{
  ConfigVersion version;
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;
  CallerLimits limits;
  /** Empty if requests need no keys. */
  std::optional<std::vector<CustomerSpec>> customers;
};

} // namespace lacewing

#endif // CATALOG_CONFIGURATIONSPEC_H
