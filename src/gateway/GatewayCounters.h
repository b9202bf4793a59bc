#ifndef GATEWAY_GATEWAYCOUNTERS_H
#define GATEWAY_GATEWAYCOUNTERS_H

#include "metrics/LatencyHistogram.h"

#include <cstdint>

namespace lacewing {

/** Totals of the traffic thread since the start. */
struct GatewayCounters
{
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t succeeded = 0;
  /** The target's own failure was passed on. */
  std::uint64_t targetFailures = 0;
  /** Answered 503: not run, the caller may come back. */
  std::uint64_t refused = 0;
  /** Answered 502: the outcome is unknown. */
  std::uint64_t lost = 0;
  /** Answered 504 at the deadline. */
  std::uint64_t timedOut = 0;
  std::uint64_t noRoute = 0;
  std::uint64_t badRequests = 0;
  std::uint64_t callersGone = 0;
  /** Questions to targets right before a choice. */
  std::uint64_t probes = 0;
  std::uint64_t attempts = 0;
  std::uint64_t repeats = 0;
  std::uint64_t hedges = 0;
  std::uint64_t repeatsDenied = 0;
  LatencyHistogram latency;
};

} // namespace lacewing

#endif // GATEWAY_GATEWAYCOUNTERS_H
