#ifndef GATEWAY_DRAINSTEPS_H
#define GATEWAY_DRAINSTEPS_H

#include "gateway/DrainResult.h"

#include <functional>

namespace lacewing {

/** What a drain's end does with an open request, one step after the other. */
struct DrainSteps
{
  /** Reads answers that have arrived; must not end the request itself. */
  std::function<void()> readArrived;
  /** Ends the request and counts how. */
  std::function<void(DrainResult&)> end;
};

} // namespace lacewing

#endif // GATEWAY_DRAINSTEPS_H
