#include "check/FindingSeverity.h"

namespace lacewing {

const char* ToString(FindingSeverity aSeverity)
{
  switch (aSeverity) {
    case FindingSeverity::kError:
      return "error";
    case FindingSeverity::kDifference:
      return "difference";
  }
  return "";
}

} // namespace lacewing
