#ifndef CATALOG_CATALOGKIND_H
#define CATALOG_CATALOGKIND_H

#include <array>
#include <cstddef>

namespace lacewing {

/** The kinds of store objects that hosts act on. */
enum class CatalogKind
{
  kConfiguration,
  kTarget,
  /** A zone whose targets get no requests. */
  kZoneOut,
};

constexpr std::array<CatalogKind, 3> kCatalogKinds = {
  CatalogKind::kConfiguration,
  CatalogKind::kTarget,
  CatalogKind::kZoneOut,
};

constexpr std::size_t IndexOf(CatalogKind aKind)
{
  return static_cast<std::size_t>(aKind);
}

const char* ToString(CatalogKind aKind);

} // namespace lacewing

#endif // CATALOG_CATALOGKIND_H
