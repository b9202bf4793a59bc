#ifndef GATEWAY_REQUESTTRACE_H
#define GATEWAY_REQUESTTRACE_H

#include "balance/AttemptResult.h"
#include "gateway/Attempt.h"
#include "gateway/TrafficState.h"
#include "http/ExchangeResult.h"
#include "lacewing/ConfigVersion.h"
#include "lacewing/CustomerId.h"
#include "lacewing/RouteName.h"
#include "lacewing/ServiceId.h"

#include <string>

namespace lacewing {

/** The values logged when a request ends. */
struct RequestTrace
{
  /** The request id that the caller set. */
  std::string request;
  RouteName route;
  ConfigVersion config;
  ServiceId service;
  /** Empty for a request without a customer. */
  CustomerId customer;
  unsigned attemptCount = 0;
  Duration duration{};
  /** The caller may not have received the response. */
  bool callerClosed = false;
};

/** Logs an attempt that ended, with the values its target was chosen by. */
void LogAttempt(const TrafficState& aState,
                const std::string& aRequest,
                const Attempt& aAttempt,
                AttemptResult aEnd,
                const ExchangeResult& aResult);

/** Logs an attempt that this host cancels before a response arrives. */
void LogCancelled(const TrafficState& aState,
                  const std::string& aRequest,
                  const Attempt& aAttempt);

/** Logs the end of a request; aStatus is 0 when no response was sent. */
void LogEnd(const RequestTrace& aTrace, unsigned aStatus, const char* aOutcome);

} // namespace lacewing

#endif // GATEWAY_REQUESTTRACE_H
