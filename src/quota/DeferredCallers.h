#ifndef QUOTA_DEFERREDCALLERS_H
#define QUOTA_DEFERREDCALLERS_H

#include "lacewing/Clock.h"

#include <cstdint>

namespace lacewing {

/**
 * Gives each caller that is over its customer's limit a time to return. The
 * times follow each other at the rate of the limit, so that returning callers
 * find tokens. A load pattern of 4.7 times the limit for many seconds would
 * make the times longer than callers wait; they are spread over the second half
 * of kLongest then.
 */
class DeferredCallers
{
public:
  static constexpr Duration kLongest = std::chrono::seconds(5);

  /**
   * Returns when the next caller may return, counted from aNow. aFirst is the
   * time until the bucket has a token, and aSpacing the time between two.
   */
  Duration Defer(TimePoint aNow, Duration aFirst, Duration aSpacing);

private:
  TimePoint next_;
  std::uint64_t count_ = 0;
};

} // namespace lacewing

#endif // QUOTA_DEFERREDCALLERS_H
