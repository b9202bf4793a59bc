#ifndef QUOTA_EQUALPARTS_H
#define QUOTA_EQUALPARTS_H

#include "lacewing/CustomerId.h"
#include "quota/FallbackShare.h"
#include "quota/TokenCount.h"

#include <functional>
#include <map>

namespace lacewing {

/** The host's equal parts of the limits of customers without an owner. */
class EqualParts
{
public:
  /**
   * Returns how many of aWaiting requests may be sent. aSince is when the owner
   * became unreachable.
   */
  TokenCount Take(const CustomerId& aCustomer,
                  TokenCount aWaiting,
                  const RateLimit& aLimit,
                  unsigned aHosts,
                  const std::function<double()>& aDraw,
                  TimePoint aSince,
                  TimePoint aNow);

  /** Whether the unreachable owner should be asked again; counts as asked. */
  bool RetryIsDue(const CustomerId& aCustomer, TimePoint aNow);

  /** The customer's owner was reached. */
  void Forget(const CustomerId& aCustomer);

private:
  std::map<CustomerId, FallbackShare> shares_;
  std::map<CustomerId, TimePoint> retriedAt_;
};

} // namespace lacewing

#endif // QUOTA_EQUALPARTS_H
