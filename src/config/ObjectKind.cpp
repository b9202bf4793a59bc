#include "config/ObjectKind.h"

namespace lacewing {

const char* ToString(ObjectKind aKind)
{
  switch (aKind) {
    case ObjectKind::kService:
      return "service";
    case ObjectKind::kZone:
      return "zone";
    case ObjectKind::kHost:
      return "host";
    case ObjectKind::kTarget:
      return "target";
  }
  return "object";
}

} // namespace lacewing
