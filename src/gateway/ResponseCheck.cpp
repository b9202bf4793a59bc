#include "gateway/ResponseCheck.h"

namespace lacewing {

namespace {

constexpr unsigned kFirstFailure = 400;
constexpr unsigned kMisdirected = 421;

bool PromisesNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == kMisdirected || aStatus == 429 ||
         aStatus == 503;
}

AttemptResult ClassifyResponse(const HttpHead& aHead, const HeaderNames& aNames)
{
  if (aHead.status / 100 == 2) {
    const bool complete = aHead.fields.Find(aNames.signature) != nullptr &&
                          aHead.fields.Find("Content-Encoding") == nullptr;
    return complete ? AttemptResult::kSuccess : AttemptResult::kUnknown;
  }
  if (aHead.fields.Find(aNames.notRun) != nullptr ||
      aHead.status == kMisdirected) {
    return AttemptResult::kNotRun;
  }
  return AttemptResult::kTargetFailure;
}

} // namespace

AnswerMatch MatchResponse(const HttpHead& aResponse,
                          const HeaderNames& aNames,
                          const std::string& aId)
{
  const std::string* id = aResponse.fields.Find(aNames.requestId);
  if (id != nullptr) {
    return *id == aId ? AnswerMatch::kCertain : AnswerMatch::kForeign;
  }
  return aId.empty() || aResponse.status >= kFirstFailure
           ? AnswerMatch::kByPosition
           : AnswerMatch::kForeign;
}

AttemptResult ClassifyAttempt(const ExchangeResult& aResult,
                              const HeaderNames& aNames)
{
  switch (aResult.end) {
    case ExchangeEnd::kAnswered:
      return aResult.identified ? ClassifyResponse(aResult.answer.head, aNames)
                                : AttemptResult::kUnknown;
    case ExchangeEnd::kNotSent:
      return AttemptResult::kNotSent;
    case ExchangeEnd::kLost:
    case ExchangeEnd::kMalformed:
      return AttemptResult::kUnknown;
  }
  return AttemptResult::kUnknown;
}

bool MayForward(const HttpHead& aResponse)
{
  return !PromisesNotRun(aResponse.status) && aResponse.status >= 300 &&
         aResponse.fields.Find("Content-Encoding") == nullptr;
}

} // namespace lacewing
