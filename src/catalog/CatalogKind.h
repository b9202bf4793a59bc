#ifndef CATALOG_CATALOGKIND_H
#define CATALOG_CATALOGKIND_H

#include <array>
#include <cstddef>
#include <vector>

namespace lacewing {

/** The kinds of store objects that hosts act on. */
enum class CatalogKind
{
  kConfiguration,
  kTarget,
  /** A zone whose targets get no requests. */
  kZoneOut,
  /** An order to move a service to targets of another version. */
  kRollout,
};

/** The kinds that each host follows. */
constexpr std::array<CatalogKind, 3> kCatalogKinds = {
  CatalogKind::kConfiguration,
  CatalogKind::kTarget,
  CatalogKind::kZoneOut,
};

/** The number of kinds that a host may follow. */
constexpr std::size_t kMaxCatalogKinds = 4;

/**
 * The kinds that a host follows, in the order of the enumeration, with or
 * without rollouts. Hosts exchange their positions in this order; those that do
 * not follow rollouts have one position less.
 */
std::vector<CatalogKind> FollowedKinds(bool aRollouts);

constexpr std::size_t IndexOf(CatalogKind aKind)
{
  return static_cast<std::size_t>(aKind);
}

const char* ToString(CatalogKind aKind);

} // namespace lacewing

#endif // CATALOG_CATALOGKIND_H
