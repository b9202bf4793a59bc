#ifndef CTL_BOUNDEDLOOP_H
#define CTL_BOUNDEDLOOP_H

#include "lacewing/Outcome.h"

#include <cstddef>
#include <functional>

namespace lacewing {

/**
 * Starts aStep for 0 to aCount - 1 with at most aLimit at work, and calls
 * aFinished once: when all are done, or with the first error when those at
 * work have ended. Steps must end later, not from within their start.
 */
void RunBounded(
  std::size_t aCount,
  std::size_t aLimit,
  std::function<void(std::size_t, std::function<void(Outcome<void>)>)> aStep,
  std::function<void(Outcome<void>)> aFinished);

} // namespace lacewing

#endif // CTL_BOUNDEDLOOP_H
