#ifndef STORE_STORECALLKIND_H
#define STORE_STORECALLKIND_H

#include <array>
#include <cstddef>

namespace lacewing {

/** The calls of an ObjectStore. */
enum class StoreCallKind
{
  kGet,
  kPut,
  kDelete,
  kList,
  kWatch,
  kHosts,
};

/** Names of the calls for metrics, in the order of StoreCallKind. */
constexpr std::array<const char*, 6> kStoreCallNames{
  "get", "put", "delete", "list", "watch", "hosts"
};

} // namespace lacewing

#endif // STORE_STORECALLKIND_H
