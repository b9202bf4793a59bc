#ifndef QUOTA_ALLOWANCELINKS_H
#define QUOTA_ALLOWANCELINKS_H

#include "catalog/RateLimit.h"
#include "quota/AllowanceAnswer.h"
#include "quota/AllowanceRequest.h"
#include "wire/HostAddress.h"

#include <functional>
#include <optional>

namespace lacewing {

/** What AllowanceRequester uses of the rest of the host. */
struct AllowanceLinks
{
  /** May deliver the reply before it returns. */
  std::function<void(const HostAddress&, const AllowanceRequest&)> send;
  std::function<void(const AllowanceAnswer&)> answer;
  /** Empty if no owner is known. */
  std::function<std::optional<HostAddress>(const CustomerId&)> ownerOf;
  /** The newest limit; not set for a customer without one. */
  std::function<RateLimit(const CustomerId&)> limitOf;
  /** Live hosts and unresponsive ones that may still run. */
  std::function<unsigned()> hosts;
  /** A random number from 0 to 1. */
  std::function<double()> draw;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCELINKS_H
