#ifndef GATEWAY_DRAINRESULT_H
#define GATEWAY_DRAINRESULT_H

#include <cstddef>

namespace lacewing {

/** How the requests ended that were still open at a drain's end. */
struct DrainResult
{
  /** Requests that were read completely and had no response yet. */
  std::size_t open = 0;
  /** Of these, local response 502: a target may have run them. */
  std::size_t unknown = 0;
  /** Of these, local response 503: no target has run them or ever will. */
  std::size_t refused = 0;
  /** Of these, those that ran on for a caller who had left. */
  std::size_t abandoned = 0;
  /** Connections whose response could not be written in time. */
  std::size_t unwritten = 0;
};

} // namespace lacewing

#endif // GATEWAY_DRAINRESULT_H
