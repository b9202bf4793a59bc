#include "balance/RetryRule.h"

namespace lacewing {

bool MayRepeat(RequestClass aClass, AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kSuccess:
      return false;
    case AttemptEnd::kNotRun:
    case AttemptEnd::kNotSent:
      return true;
    case AttemptEnd::kTargetFailure:
    case AttemptEnd::kUnknown:
      return !RunsAtMostOnce(aClass);
  }
  return false;
}

} // namespace lacewing
