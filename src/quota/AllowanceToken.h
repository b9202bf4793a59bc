#ifndef QUOTA_ALLOWANCETOKEN_H
#define QUOTA_ALLOWANCETOKEN_H

#include "lacewing/Clock.h"

namespace lacewing {

/** Permission to send one attempt of a customer's request. */
struct AllowanceToken
{
  /** The token must not be used at or after this time. */
  TimePoint validUntil;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCETOKEN_H
