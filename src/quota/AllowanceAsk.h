#ifndef QUOTA_ALLOWANCEASK_H
#define QUOTA_ALLOWANCEASK_H

#include "lacewing/CustomerId.h"
#include "quota/TokenCount.h"

namespace lacewing {

/** What the traffic thread asks of the control thread for one customer. */
struct AllowanceAsk
{
  CustomerId customer;
  /** Number of requests that wait; zero only gives tokens back. */
  TokenCount waiting;
  TokenCount spare;
  /** Expired tokens that are given back. */
  TokenCount unused;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEASK_H
