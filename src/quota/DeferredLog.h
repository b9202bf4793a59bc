#ifndef QUOTA_DEFERREDLOG_H
#define QUOTA_DEFERREDLOG_H

#include "lacewing/Clock.h"
#include "lacewing/CustomerId.h"

#include <map>

namespace lacewing {

/**
 * Logs that a customer is over its limit: the first deferred caller of each
 * second, with the number since the last line.
 */
class DeferredLog
{
public:
  void OnDeferred(const CustomerId& aCustomer,
                  unsigned aCount,
                  Duration aRetryAfter,
                  TimePoint aNow);

private:
  struct Entry
  {
    TimePoint loggedAt;
    unsigned count = 0;
  };

  std::map<CustomerId, Entry> entries_;
};

} // namespace lacewing

#endif // QUOTA_DEFERREDLOG_H
