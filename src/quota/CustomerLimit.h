#ifndef QUOTA_CUSTOMERLIMIT_H
#define QUOTA_CUSTOMERLIMIT_H

#include "catalog/RateLimit.h"
#include "lacewing/CustomerId.h"

namespace lacewing {

/** A customer that has a rate limit. */
struct CustomerLimit
{
  CustomerId customer;
  RateLimit limit;
};

} // namespace lacewing

#endif // QUOTA_CUSTOMERLIMIT_H
