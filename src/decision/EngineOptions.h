#ifndef DECISION_ENGINEOPTIONS_H
#define DECISION_ENGINEOPTIONS_H

#include "lacewing/BasisPoints.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lacewing {

/** Settings of a RequestEngine. */
struct EngineOptions
{
  /** Name of a routing strategy, see RoutingStrategy. */
  std::string strategy = "zone-slots";
  /** Requests that may wait for a slot, per service. */
  std::size_t maxWaiting = 256;
  /** Requests that may wait over all services; shared out evenly. */
  std::size_t maxWaitingTotal = 4096;
  /** Longest wait for a slot. */
  std::chrono::milliseconds maxWait{ 1000 };
  /** Retries of idempotent requests as a share of all requests. */
  BasisPoints retryBudget{ 1000 };
  /** Sendings of one request, the first included. */
  unsigned maxAttempts = 3;
  std::uint64_t seed = 1;
};

} // namespace lacewing

#endif // DECISION_ENGINEOPTIONS_H
