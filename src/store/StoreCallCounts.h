#ifndef STORE_STORECALLCOUNTS_H
#define STORE_STORECALLCOUNTS_H

#include "store/StoreCallKind.h"

#include <array>
#include <cstdint>

namespace lacewing {

/** Calls of one store client since its start, indexed by StoreCallKind. */
struct StoreCallCounts
{
  std::array<std::uint64_t, kStoreCallNames.size()> started{};
  /** Calls without a usable answer; a missing object is an answer. */
  std::array<std::uint64_t, kStoreCallNames.size()> failed{};
};

} // namespace lacewing

#endif // STORE_STORECALLCOUNTS_H
