#ifndef BALANCE_TARGETLOAD_H
#define BALANCE_TARGETLOAD_H

#include <cstdint>

namespace lacewing {

/** What a target says of its load in an answer. */
struct TargetLoad
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  /** How long work takes there now; 100 is as usual. */
  std::uint32_t slowdownPercent = 100;
};

} // namespace lacewing

#endif // BALANCE_TARGETLOAD_H
