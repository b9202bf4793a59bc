#include "gateway/CloseReason.h"

namespace lacewing {

const char* ToString(CloseReason aReason)
{
  switch (aReason) {
    case CloseReason::kAnswered:
      return "answered";
    case CloseReason::kCallerClosed:
      return "caller-closed";
    case CloseReason::kCallerReset:
      return "caller-reset";
    case CloseReason::kIdleTimeout:
      return "idle-timeout";
    case CloseReason::kHeadTimeout:
      return "head-timeout";
    case CloseReason::kBodyTimeout:
      return "body-timeout";
    case CloseReason::kWriteTimeout:
      return "write-timeout";
    case CloseReason::kStopped:
      return "stopped";
  }
  return "unknown";
}

} // namespace lacewing
