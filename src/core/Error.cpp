#include "lacewing/Error.h"

namespace lacewing {

const char* ToString(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::kInvalidArgument:
      return "invalid-argument";
    case ErrorKind::kInvalidSettings:
      return "invalid-settings";
    case ErrorKind::kInvalidSheet:
      return "invalid-sheet";
    case ErrorKind::kInvalidMessage:
      return "invalid-message";
    case ErrorKind::kTooLarge:
      return "too-large";
    case ErrorKind::kNotFound:
      return "not-found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kRateLimited:
      return "rate-limited";
    case ErrorKind::kRefused:
      return "refused";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

std::string Error::ToString() const
{
  return std::string(lacewing::ToString(kind)) + ": " + what + "; " + remedy;
}

} // namespace lacewing
