#include "gateway/RecordAttempt.h"

namespace lacewing {

void RecordAttempt(TrafficState& aState,
                   const RouteSpec& aRoute,
                   const Attempt& aAttempt,
                   AttemptResult aEnd,
                   const ExchangeResult& aResult)
{
  const TimePoint now = aState.Now();
  const HeaderNames& names = aState.Names();
  TargetObservations& view = aState.ViewOf(aAttempt.target.id);
  view.OnEnded();
  const std::string* load = aResult.answer.head.fields.Find(names.load);
  if (load != nullptr && names.parseLoad != nullptr) {
    if (const auto parsed = names.parseLoad(*load)) {
      view.OnLoad(now, *parsed);
    }
  }
  switch (aEnd) {
    case AttemptResult::kSuccess:
      view.OnSuccess(now);
      aState.StatisticsOf(aRoute).OnResponse(
        now - aAttempt.sentAt,
        aAttempt.choice.slowdownPercent,
        ByteCount(aResult.answer.body.size()));
      break;
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
