#ifndef CONTROL_GRANTCOUNTS_H
#define CONTROL_GRANTCOUNTS_H

#include <cstdint>

namespace lacewing {

/** What a GrantManager did since its start. */
struct GrantCounts
{
  std::uint64_t wants = 0;
  std::uint64_t given = 0;
  std::uint64_t returns = 0;
  /** Wants and returns for a shard whose lease holder is unknown or away. */
  std::uint64_t unroutable = 0;
};

} // namespace lacewing

#endif // CONTROL_GRANTCOUNTS_H
