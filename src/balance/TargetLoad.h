#ifndef BALANCE_TARGETLOAD_H
#define BALANCE_TARGETLOAD_H

#include <cstdint>

namespace lacewing {

/** The load that a target reports in a response. */
struct TargetLoad
{
  /** Requests being processed. */
  std::uint32_t running = 0;
  /** Requests queued at the target. */
  std::uint32_t waiting = 0;
  /** Requests that the target can process at the same time. */
  std::uint32_t slots = 1;
  /** How long requests take now; 100 is the target's usual time. */
  std::uint32_t slowdownPercent = 100;
};

} // namespace lacewing

#endif // BALANCE_TARGETLOAD_H
