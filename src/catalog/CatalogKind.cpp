#include "catalog/CatalogKind.h"

namespace lacewing {

std::vector<CatalogKind> FollowedKinds(bool aRollouts)
{
  std::vector<CatalogKind> kinds(kCatalogKinds.begin(), kCatalogKinds.end());
  if (aRollouts) {
    kinds.push_back(CatalogKind::kRollout);
  }
  return kinds;
}

const char* ToString(CatalogKind aKind)
{
  switch (aKind) {
    case CatalogKind::kConfiguration:
      return "configuration";
    case CatalogKind::kTarget:
      return "target";
    case CatalogKind::kZoneOut:
      return "zone-out";
    case CatalogKind::kRollout:
      return "rollout";
  }
  return "unknown";
}

} // namespace lacewing
