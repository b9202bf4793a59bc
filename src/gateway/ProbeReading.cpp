#include "gateway/ProbeReading.h"

#include <algorithm>
#include <charconv>

namespace lacewing {

namespace {

constexpr unsigned kHealthy = 200;
constexpr unsigned kFirstFailure = 400;

// A longer time would overflow a Duration. Peers refuse a heartbeat with a
// negative time or one of many years.
constexpr std::chrono::milliseconds kMaxColdLeft = std::chrono::hours(24);

Duration ReadColdLeft(const std::string* aField)
{
  std::int64_t milliseconds = 0;
  if (aField == nullptr) {
    return Duration(0);
  }
  const auto [end, error] = std::from_chars(
    aField->data(), aField->data() + aField->size(), milliseconds);
  if (error == std::errc::result_out_of_range) {
    milliseconds = aField->front() == '-' ? 0 : kMaxColdLeft.count();
  }
  return std::chrono::milliseconds(
    std::clamp<std::int64_t>(milliseconds, 0, kMaxColdLeft.count()));
}

} // namespace

LoadReading ReadProbe(const ExchangeResult& aResult,
                      const HeaderNames& aNames,
                      const TargetId& aTarget,
                      TimePoint aNow)
{
  LoadReading reading;
  reading.target = aTarget;
  reading.measuredAt = aNow;
  reading.probedAt = aNow;
  const HttpFields& fields = aResult.answer.head.fields;
  const std::string* id = fields.Find(aNames.targetId);
  const bool wrongTarget = id != nullptr && *id != aTarget.value();
  if (aResult.end != ExchangeEnd::kAnswered || wrongTarget) {
    return reading;
  }
  reading.state = aResult.answer.head.status == kHealthy
                    ? ReadingState::kServing
                    : ReadingState::kRefusing;
  reading.load = ReadLoad(aResult.answer.head, aNames);
  reading.coldLeft = ReadColdLeft(fields.Find(aNames.coldLeft));
  return reading;
}

std::optional<TargetLoad> ReadLoad(const HttpHead& aResponse,
                                   const HeaderNames& aNames)
{
  const std::string* load = aResponse.fields.Find(aNames.load);
  return load == nullptr || aNames.parseLoad == nullptr
           ? std::nullopt
           : aNames.parseLoad(*load);
}

HttpHead ProbeHead(const std::string& aHealthPath, const Endpoint& aTarget)
{
  HttpHead head;
  head.method = "GET";
  head.target = aHealthPath;
  head.fields.Add("Host", aTarget.ToString());
  return head;
}

AnswerMatch MatchProbe(const HttpHead& aResponse, const HeaderNames& aNames)
{
  if (aResponse.fields.Find(aNames.requestId) != nullptr ||
      aResponse.fields.Find(aNames.signature) != nullptr) {
    return AnswerMatch::kForeign;
  }
  return aResponse.status >= kFirstFailure ? AnswerMatch::kByPosition
                                           : AnswerMatch::kCertain;
}

} // namespace lacewing
