#include "balance/WatchRole.h"

namespace lacewing {

const char* ToString(WatchRole aRole)
{
  switch (aRole) {
    case WatchRole::kNone:
      return "none";
    case WatchRole::kStandby:
      return "further";
    case WatchRole::kPrimary:
      return "first";
  }
  return "unknown";
}

} // namespace lacewing
