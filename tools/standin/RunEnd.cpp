#include "standin/RunEnd.h"

namespace lacewing {

const char* ToString(RunEnd aEnd)
{
  switch (aEnd) {
    case RunEnd::kRunning:
      return "running";
    case RunEnd::kAnswered:
      return "answered";
    case RunEnd::kCancelled:
      return "cancelled";
    case RunEnd::kDropped:
      return "dropped";
    case RunEnd::kClosed:
      return "closed";
    case RunEnd::kFailed:
      return "failed";
  }
  return "running";
}

} // namespace lacewing
