#include "catalog/CatalogKind.h"

namespace lacewing {

const char* ToString(CatalogKind aKind)
{
  switch (aKind) {
    case CatalogKind::kConfiguration:
      return "configuration";
    case CatalogKind::kTarget:
      return "target";
    case CatalogKind::kZoneOut:
      return "zone-out";
  }
  return "unknown";
}

} // namespace lacewing
