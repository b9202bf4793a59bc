#include "gateway/RequestTrace.h"

#include "core/Log.h"
#include "gateway/RequestDeadline.h"

namespace lacewing {

namespace {

void WriteAttempt(const TrafficState& aState,
                  const std::string& aRequest,
                  const Attempt& aAttempt,
                  const char* aEnd,
                  const ExchangeResult& aResult)
{
  const std::string* load =
    aResult.answer.head.fields.Find(aState.Names().load);
  Log(LogLevel::kInfo,
      "attempt",
      { { "request", aRequest },
        { "target", aAttempt.target.id.value() },
        { "end", aEnd },
        { "status", std::to_string(aResult.answer.head.status) },
        { "detail", aResult.detail },
        { "ms", MillisecondsText(aState.Now() - aAttempt.sentAt) },
        { "busy", std::to_string(aAttempt.choice.busy) },
        { "slowdown", std::to_string(aAttempt.choice.slowdownPercent) },
        { "reading_age_ms", MillisecondsText(aAttempt.choice.readingAge) },
        { "expected_ms", MillisecondsText(aAttempt.choice.expected) },
        { "cold", aAttempt.choice.cold ? "1" : "0" },
        { "load", load == nullptr ? "" : *load } });
}

} // namespace

void LogAttempt(const TrafficState& aState,
                const std::string& aRequest,
                const Attempt& aAttempt,
                AttemptResult aEnd,
                const ExchangeResult& aResult)
{
  WriteAttempt(aState, aRequest, aAttempt, ToString(aEnd), aResult);
}

void LogCancelled(const TrafficState& aState,
                  const std::string& aRequest,
                  const Attempt& aAttempt)
{
  WriteAttempt(aState, aRequest, aAttempt, "cancelled", ExchangeResult());
}

void LogEnd(const RequestTrace& aTrace, unsigned aStatus, const char* aOutcome)
{
  Log(LogLevel::kInfo,
      "request",
      { { "request", aTrace.request },
        { "route", aTrace.route.value() },
        { "config", std::to_string(aTrace.config.value()) },
        { "service", aTrace.service.value() },
        { "customer", aTrace.customer.value() },
        { "status", std::to_string(aStatus) },
        { "outcome", aOutcome },
        { "tries", std::to_string(aTrace.attemptCount) },
        { "ms", MillisecondsText(aTrace.duration) },
        { "caller", aTrace.callerClosed ? "closed" : "open" } });
}

} // namespace lacewing
