#ifndef BALANCE_RETRYLIMITS_H
#define BALANCE_RETRYLIMITS_H

#include "lacewing/Clock.h"

namespace lacewing {

/**
 * Limits the attempts that all hosts together send in addition to the first
 * attempt of each request.
 */
struct RetryLimits
{
  /** Retries as a share of a service's requests in the window. */
  double ratio = 0;
  /** Length of the sliding window. */
  Duration window = std::chrono::seconds(10);
  /** Retries allowed in addition, for each service and window. */
  double slack = 0;
};

} // namespace lacewing

#endif // BALANCE_RETRYLIMITS_H
