#ifndef QUOTA_ALLOWANCERESULT_H
#define QUOTA_ALLOWANCERESULT_H

#include "lacewing/Clock.h"
#include "quota/AllowanceToken.h"
#include "quota/AllowanceVerdict.h"

namespace lacewing {

/** The result for one request that asked for a token. */
struct AllowanceResult
{
  AllowanceVerdict verdict = AllowanceVerdict::kGranted;
  /** Valid with kGranted only. */
  AllowanceToken token;
  /** When the caller may return; set with the other verdicts. */
  Duration retryAfter{ 0 };
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCERESULT_H
