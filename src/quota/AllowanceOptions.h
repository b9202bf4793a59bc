#ifndef QUOTA_ALLOWANCEOPTIONS_H
#define QUOTA_ALLOWANCEOPTIONS_H

#include "catalog/RateLimit.h"
#include "lacewing/Clock.h"
#include "quota/AllowanceTerms.h"

#include <algorithm>
#include <cstdint>

namespace lacewing {

/** Settings of the limits that all hosts keep together. */
struct AllowanceOptions
{
  /** In any time of this length the number of requests is limited. */
  Duration window = std::chrono::seconds(5);
  /** Tolerated excess of the limit, as a part of it and in requests. */
  double overshoot = 0.1;
  double slack = 20;
  /**
   * The part of each rate that an owner may grant. A token may be used
   * AllowanceTerms::kValidity after its grant, so that a window holds the
   * tokens of a longer time; the overshoot makes up for it.
   */
  double RateFactor() const
  {
    const std::chrono::duration<double> longer =
      window + AllowanceTerms::kValidity;
    return std::min(
      1.0, (1 + overshoot) * (std::chrono::duration<double>(window) / longer));
  }

  /**
   * The capacity of an owner's bucket. Requests that come at random can empty
   * a bucket of the burst alone below the limit; with a quarter of the slack in
   * addition none of 708 at 60 % of 2 a second is refused (AllowanceLoadTest).
   */
  double CapacityFor(const RateLimit& aLimit) const
  {
    return std::max(aLimit.burst, 1.0) + slack / 4;
  }

  /** UDP port for the messages; the same on all hosts. */
  std::uint16_t port = 0;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEOPTIONS_H
