#ifndef QUOTA_ALLOWANCEANSWER_H
#define QUOTA_ALLOWANCEANSWER_H

#include "lacewing/Clock.h"
#include "lacewing/CustomerId.h"
#include "quota/AllowanceVerdict.h"
#include "quota/TokenCount.h"

namespace lacewing {

/** The control thread's answer to an AllowanceAsk with waiting requests. */
struct AllowanceAnswer
{
  CustomerId customer;
  TokenCount tokens;
  TimePoint validUntil;
  /** For the waiting requests that get no token. */
  AllowanceVerdict rest = AllowanceVerdict::kGranted;
  /** When the first of these may return, and the time between two of them. */
  Duration retryAfter{ 0 };
  Duration spacing{ 0 };
  /** Number of hosts that may ask the same owner. */
  unsigned hosts = 1;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEANSWER_H
