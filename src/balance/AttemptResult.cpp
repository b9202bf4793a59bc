#include "balance/AttemptResult.h"

namespace lacewing {

const char* ToString(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::kSuccess:
      return "success";
    case AttemptResult::kTargetFailure:
      return "target-failure";
    case AttemptResult::kNotRun:
      return "not-run";
    case AttemptResult::kNotSent:
      return "not-sent";
    case AttemptResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace lacewing
