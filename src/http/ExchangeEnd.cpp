#include "http/ExchangeEnd.h"

namespace lacewing {

const char* ToString(ExchangeEnd aEnd)
{
  switch (aEnd) {
    case ExchangeEnd::kAnswered:
      return "answered";
    case ExchangeEnd::kNotSent:
      return "not-sent";
    case ExchangeEnd::kLost:
      return "lost";
    case ExchangeEnd::kMalformed:
      return "malformed";
  }
  return "unknown";
}

} // namespace lacewing
