#include "balance/RetryRule.h"

namespace lacewing {

bool MayRetry(RequestClass aClass, AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::kSuccess:
      return false;
    case AttemptResult::kNotRun:
    case AttemptResult::kNotSent:
      return true;
    case AttemptResult::kTargetFailure:
    case AttemptResult::kUnknown:
      return !RunsAtMostOnce(aClass);
  }
  return false;
}

} // namespace lacewing
