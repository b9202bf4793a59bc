#include "config/ChangeKind.h"

namespace lacewing {

const char* ToString(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "changed";
}

} // namespace lacewing
