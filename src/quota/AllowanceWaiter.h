#ifndef QUOTA_ALLOWANCEWAITER_H
#define QUOTA_ALLOWANCEWAITER_H

#include "lacewing/Clock.h"
#include "lacewing/StrongNumber.h"
#include "quota/AllowanceResult.h"

#include <functional>

namespace lacewing {

using AllowanceWaiterId = StrongNumber<struct AllowanceWaiterIdTag>;

/** A request that waits for a token. */
struct AllowanceWaiter
{
  AllowanceWaiterId id;
  TimePoint deadline;
  /** Whether the ask in progress counts this request. */
  bool asked = false;
  std::function<void(const AllowanceResult&)> handler;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEWAITER_H
