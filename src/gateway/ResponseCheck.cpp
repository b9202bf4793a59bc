#include "gateway/ResponseCheck.h"

namespace lacewing {

namespace {

constexpr unsigned kMisdirected = 421;

bool PromisesNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == kMisdirected || aStatus == 429 ||
         aStatus == 503;
}

AttemptEnd ClassifyAnswer(const HttpHead& aHead, const HeaderNames& aNames)
{
  if (aHead.status / 100 == 2) {
    const bool whole = aHead.fields.Find(aNames.signature) != nullptr &&
                       aHead.fields.Find("Content-Encoding") == nullptr;
    return whole ? AttemptEnd::kSuccess : AttemptEnd::kUnknown;
  }
  if (aHead.fields.Find(aNames.notRun) != nullptr ||
      aHead.status == kMisdirected) {
    return AttemptEnd::kNotRun;
  }
  return AttemptEnd::kTargetFailure;
}

} // namespace

bool BelongsTo(const HttpHead& aAnswer,
               const HeaderNames& aNames,
               const std::string& aId)
{
  const std::string* id = aAnswer.fields.Find(aNames.requestId);
  if (id == nullptr) {
    return aId.empty() || aAnswer.status >= 400;
  }
  return *id == aId;
}

AttemptEnd Classify(const ExchangeResult& aResult, const HeaderNames& aNames)
{
  switch (aResult.end) {
    case ExchangeEnd::kAnswered:
      return ClassifyAnswer(aResult.answer.head, aNames);
    case ExchangeEnd::kNotSent:
      return AttemptEnd::kNotSent;
    case ExchangeEnd::kLost:
    case ExchangeEnd::kMalformed:
      return AttemptEnd::kUnknown;
  }
  return AttemptEnd::kUnknown;
}

bool MayPassOn(const HttpHead& aAnswer)
{
  return !PromisesNotRun(aAnswer.status) && aAnswer.status >= 300 &&
         aAnswer.fields.Find("Content-Encoding") == nullptr;
}

} // namespace lacewing
