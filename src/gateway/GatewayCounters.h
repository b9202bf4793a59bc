#ifndef GATEWAY_GATEWAYCOUNTERS_H
#define GATEWAY_GATEWAYCOUNTERS_H

#include "metrics/LatencyHistogram.h"

#include <cstdint>

namespace lacewing {

/** Totals of the traffic thread since it was started. */
struct GatewayCounters
{
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t succeeded = 0;
  /** The target's failure response was forwarded. */
  std::uint64_t targetFailures = 0;
  /** Local response 503: not run; the caller may retry. */
  std::uint64_t refused = 0;
  /** Local response 502: the request may have run. */
  std::uint64_t outcomeUnknown = 0;
  /** Local response 504 at the deadline. */
  std::uint64_t timedOut = 0;
  std::uint64_t noRoute = 0;
  /** Local response 429: the customer is over its limit. */
  std::uint64_t overLimit = 0;
  /** Local response 401: the route needs a key and got no valid one. */
  std::uint64_t unknownKey = 0;
  std::uint64_t badRequests = 0;
  std::uint64_t callerDisconnects = 0;
  /** Connections that closed before the response was written, by cause. */
  std::uint64_t unansweredCallerGone = 0;
  std::uint64_t unansweredTimeout = 0;
  std::uint64_t unansweredStop = 0;
  /** Probes sent to targets right before one is chosen. */
  std::uint64_t probes = 0;
  /** Probes that the budget for them did not allow. */
  std::uint64_t probesDenied = 0;
  /** Connections opened to targets for requests and probes. */
  std::uint64_t targetConnections = 0;
  /** Times that a target was passed over at the limit of its connections. */
  std::uint64_t connectionsDenied = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retriesDenied = 0;
  LatencyHistogram latency;
};

} // namespace lacewing

#endif // GATEWAY_GATEWAYCOUNTERS_H
