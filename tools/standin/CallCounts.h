#ifndef STANDIN_CALLCOUNTS_H
#define STANDIN_CALLCOUNTS_H

#include "core/JsonProperty.h"

#include <array>
#include <cstdint>

namespace lacewing {

/** Calls to the platform since it started; refused ones count only there. */
struct CallCounts
{
  std::uint64_t get = 0;
  std::uint64_t put = 0;
  std::uint64_t remove = 0;
  std::uint64_t list = 0;
  std::uint64_t watch = 0;
  std::uint64_t hosts = 0;
  std::uint64_t refused = 0;
};

inline constexpr std::array<JsonProperty<CallCounts>, 7> kCallCounts{ {
  { "get", &CallCounts::get },
  { "put", &CallCounts::put },
  { "delete", &CallCounts::remove },
  { "list", &CallCounts::list },
  { "watch", &CallCounts::watch },
  { "hosts", &CallCounts::hosts },
  { "refused", &CallCounts::refused },
} };

} // namespace lacewing

#endif // STANDIN_CALLCOUNTS_H
