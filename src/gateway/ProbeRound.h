#ifndef GATEWAY_PROBEROUND_H
#define GATEWAY_PROBEROUND_H

#include <cstddef>

namespace lacewing {

/** How many targets one round of a search probes. */
struct ProbeRound
{
  /** The best ones of any availability zone. */
  std::size_t any = 0;
  /** The best ones of other zones, in addition. */
  std::size_t remote = 0;
};

} // namespace lacewing

#endif // GATEWAY_PROBEROUND_H
