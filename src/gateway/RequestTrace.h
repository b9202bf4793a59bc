#ifndef GATEWAY_REQUESTTRACE_H
#define GATEWAY_REQUESTTRACE_H

#include "balance/AttemptResult.h"
#include "gateway/Attempt.h"
#include "gateway/TrafficState.h"
#include "http/ExchangeResult.h"
#include "lacewing/ConfigVersion.h"
#include "lacewing/RouteName.h"
#include "lacewing/ServiceId.h"

#include <string>

namespace lacewing {

/** What the log tells of a request at its end. */
struct RequestTrace
{
  /** The caller's id of the request. */
  std::string request;
  RouteName route;
  ConfigVersion config;
  ServiceId service;
  unsigned tries = 0;
  Duration duration{};
};

/** Logs one sending that ended, with what decided on its target. */
void LogAttempt(const TrafficState& aState,
                const std::string& aRequest,
                const Attempt& aAttempt,
                AttemptResult aEnd,
                const ExchangeResult& aResult);

/** Logs one sending that this host gives up without an answer. */
void LogCancelled(const TrafficState& aState,
                  const std::string& aRequest,
                  const Attempt& aAttempt);

/** Logs a request's end; aStatus is 0 when no answer was sent. */
void LogEnd(const RequestTrace& aTrace, unsigned aStatus, const char* aOutcome);

} // namespace lacewing

#endif // GATEWAY_REQUESTTRACE_H
