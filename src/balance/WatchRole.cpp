#include "balance/WatchRole.h"

namespace lacewing {

const char* ToString(WatchRole aRole)
{
  switch (aRole) {
    case WatchRole::kNone:
      return "none";
    case WatchRole::kFurther:
      return "further";
    case WatchRole::kFirst:
      return "first";
  }
  return "unknown";
}

} // namespace lacewing
