#include "ctl/ExitCode.h"

namespace lacewing {

ExitCode ExitCodeOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kInvalidSettings:
      return ExitCode::kUsage;
    case ErrorKind::kInvalidSheet:
    case ErrorKind::kInvalidMessage:
    case ErrorKind::kTooLarge:
      return ExitCode::kInvalidInput;
    case ErrorKind::kRefused:
      return ExitCode::kRefused;
    case ErrorKind::kConflict:
      return ExitCode::kConflict;
    case ErrorKind::kNotFound:
    case ErrorKind::kUnavailable:
    case ErrorKind::kTimeout:
    case ErrorKind::kRateLimited:
    case ErrorKind::kInternal:
      return ExitCode::kUnavailable;
  }
  return ExitCode::kUnavailable;
}

} // namespace lacewing
