#ifndef BALANCE_RETRYLIMITS_H
#define BALANCE_RETRYLIMITS_H

#include "lacewing/Clock.h"

namespace lacewing {

/** What all hosts together may send beyond the first of each request. */
struct RetryLimits
{
  /** Share of a service's requests in a window. */
  double ratio = 0;
  Duration window = std::chrono::seconds(10);
  /** Requests on top of it, for each service and window. */
  double slack = 0;
};

} // namespace lacewing

#endif // BALANCE_RETRYLIMITS_H
