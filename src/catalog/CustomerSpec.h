#ifndef CATALOG_CUSTOMERSPEC_H
#define CATALOG_CUSTOMERSPEC_H

#include "catalog/RateLimit.h"
#include "lacewing/CustomerId.h"
#include "lacewing/Priority.h"

#include <string>
#include <vector>

namespace lacewing {

/** The configuration of a customer. */
struct CustomerSpec
{
  CustomerId id;
  /** Each identifies the customer's requests; never logged. */
  std::vector<std::string> keys;
  /** Replaces the priority of the routes that the customer uses. */
  Priority priority;
  RateLimit limit;
};

} // namespace lacewing

#endif // CATALOG_CUSTOMERSPEC_H
