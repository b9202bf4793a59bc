#include "balance/AttemptResult.h"

namespace lacewing {

const char* ToString(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kSuccess:
      return "success";
    case AttemptEnd::kTargetFailure:
      return "target-failure";
    case AttemptEnd::kNotRun:
      return "not-run";
    case AttemptEnd::kNotSent:
      return "not-sent";
    case AttemptEnd::kUnknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace lacewing
