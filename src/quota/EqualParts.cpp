#include "quota/EqualParts.h"

namespace lacewing {

namespace {

// How often a host asks an unreachable owner again, for each customer.
constexpr Duration kRetryPeriod = std::chrono::milliseconds(250);
// The equal part collects tokens only from this time on. By then the owner has
// noticed that this host is unresponsive and grants less, or another host owns
// the customer: zones time out after 2.5 s.
constexpr Duration kDelay = std::chrono::milliseconds(2500);

} // namespace

TokenCount EqualParts::Take(const CustomerId& aCustomer,
                            TokenCount aWaiting,
                            const RateLimit& aLimit,
                            unsigned aHosts,
                            const std::function<double()>& aDraw,
                            TimePoint aSince,
                            TimePoint aNow)
{
  FallbackShare& share =
    shares_.try_emplace(aCustomer, aSince + kDelay).first->second;
  TokenCount taken;
  for (TokenCount each; each < aWaiting; ++each) {
    if (share.Take(aLimit, aHosts, aDraw(), aNow)) {
      ++taken;
    }
  }
  return taken;
}

bool EqualParts::RetryIsDue(const CustomerId& aCustomer, TimePoint aNow)
{
  TimePoint& last = retriedAt_[aCustomer];
  if (last + kRetryPeriod > aNow) {
    return false;
  }
  last = aNow;
  return true;
}

void EqualParts::Forget(const CustomerId& aCustomer)
{
  shares_.erase(aCustomer);
  retriedAt_.erase(aCustomer);
}

} // namespace lacewing
