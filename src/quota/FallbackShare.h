#ifndef QUOTA_FALLBACKSHARE_H
#define QUOTA_FALLBACKSHARE_H

#include "catalog/RateLimit.h"
#include "lacewing/Clock.h"
#include "quota/TokenBucket.h"

namespace lacewing {

/**
 * An equal part of a customer's limit, which a host uses while it hears no
 * owner. A part of a limit of 3 a second over 98 hosts is less than a token,
 * and a whole token on each of 98 hosts would exceed the limit. A part of a
 * token therefore lets a request pass with that probability and is used up.
 */
class FallbackShare
{
public:
  explicit FallbackShare(TimePoint aStart)
    : bucket_(aStart)
  {
  }

  /**
   * Returns whether a request may be sent. aHosts is the number of hosts that
   * may use a part each, and aDraw a random number from 0 to 1.
   */
  bool Take(const RateLimit& aLimit,
            unsigned aHosts,
            double aDraw,
            TimePoint aNow);

private:
  TokenBucket bucket_;
};

} // namespace lacewing

#endif // QUOTA_FALLBACKSHARE_H
