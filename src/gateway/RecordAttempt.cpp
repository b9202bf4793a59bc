#include "gateway/RecordAttempt.h"

#include "gateway/ProbeReading.h"
#include "gateway/RecordVersion.h"

namespace lacewing {

namespace {

AttemptEnd EndOf(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::kSuccess:
      return AttemptEnd::kResponse;
    case AttemptResult::kNotRun:
    case AttemptResult::kNotSent:
      return AttemptEnd::kNotRun;
    case AttemptResult::kTargetFailure:
    case AttemptResult::kUnknown:
      break;
  }
  return AttemptEnd::kFailure;
}

double Ratio(Duration aDuration, Duration aReference)
{
  return std::chrono::duration<double>(aDuration) /
         std::chrono::duration<double>(aReference);
}

} // namespace

void RecordAttempt(TrafficState& aState,
                   const RouteSpec& aRoute,
                   const Attempt& aAttempt,
                   AttemptResult aEnd,
                   const ExchangeResult& aResult)
{
  const TimePoint now = aState.Now();
  const HeaderNames& names = aState.Names();
  TargetObservations& view = aState.ViewOf(aAttempt.target.id);
  view.OnEnded(aAttempt.sentAt);
  const auto load = ReadLoad(aResult.answer.head, names);
  RecordVersion(aState, aRoute, aAttempt, EndOf(aEnd), load);
  if (load) {
    view.OnLoad(now, *load);
  }
  switch (aEnd) {
    case AttemptResult::kSuccess: {
      RouteStatistics& statistics = aState.StatisticsOf(aRoute);
      const Duration latency = now - aAttempt.sentAt;
      view.OnSuccess(now, Ratio(latency, statistics.TypicalServiceTime()));
      statistics.OnResponse(
        latency,
        load ? std::optional<unsigned>(aAttempt.choice.slowdownPercent)
             : std::nullopt,
        ByteCount(aResult.answer.body.size()));
      break;
    }
    case AttemptResult::kNotRun:
    case AttemptResult::kTargetFailure:
      view.OnFailure(now, 1);
      break;
    case AttemptResult::kNotSent:
    case AttemptResult::kUnknown:
      view.OnFailure(now, 1);
      view.OnConnectionFailure(now);
      break;
  }
}

} // namespace lacewing
