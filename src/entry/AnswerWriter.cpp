#include "entry/AnswerWriter.h"

#include "entry/StatusTable.h"
#include "http/HopFields.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace lacewing {

namespace {

constexpr const char* kOutcomeField = "Lacewing-Outcome";
constexpr const char* kReasonField = "Lacewing-Reason";

HttpResponse WriteRow(const StatusRow& aRow,
                      Disposition aDisposition,
                      Duration aRetryAfter)
{
  HttpResponse response;
  response.status = aRow.status;
  response.fields.Add(kOutcomeField, ToString(aDisposition));
  response.fields.Add(kReasonField, aRow.reason);
  if (aRow.retryLater) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter);
    response.fields.Add(
      "Retry-After",
      std::to_string(std::max<std::int64_t>(seconds.count(), 1)));
  }
  response.fields.Add("Content-Type", "text/plain");
  response.body = std::string(aRow.reason) + "\n";
  return response;
}

bool HasValue(const HttpFields& aFields,
              std::string_view aName,
              std::string_view aValue)
{
  const std::string* value = aFields.Find(aName);
  return value != nullptr && *value == aValue;
}

/** Reads "in flight/slots" as a share of the slots. */
std::optional<double> ParseLoad(const std::string& aText)
{
  std::uint32_t inFlight = 0;
  std::uint32_t slots = 0;
  const char* last = aText.data() + aText.size();
  const auto first = std::from_chars(aText.data(), last, inFlight);
  if (first.ec != std::errc() || first.ptr == last || *first.ptr != '/') {
    return std::nullopt;
  }
  const auto second = std::from_chars(first.ptr + 1, last, slots);
  if (second.ec != std::errc() || second.ptr != last || slots == 0) {
    return std::nullopt;
  }
  return static_cast<double>(inFlight) / slots;
}

} // namespace

HttpResponse WriteTargetAnswer(HttpResponse aAnswer)
{
  // The length of the body that a GET would bring answers a HEAD.
  std::optional<std::string> length;
  if (const std::string* given = aAnswer.fields.Find("Content-Length")) {
    length = *given;
  }
  aAnswer.fields = EndToEndFields(std::move(aAnswer.fields));
  aAnswer.fields.Set(kOutcomeField, ToString(Disposition::kRan));
  aAnswer.fields.Set(kReasonField, ToString(FinishReason::kAnswered));
  if (length) {
    aAnswer.fields.Add("Content-Length", *std::move(length));
  }
  return aAnswer;
}

HttpResponse WriteOwnAnswer(const FinishRequest& aFinish)
{
  return WriteRow(
    StatusOf(aFinish.reason), aFinish.disposition, aFinish.retryAfter);
}

HttpResponse WriteRefusal(RefusalReason aReason)
{
  return WriteRow(StatusOf(aReason), Disposition::kNotRun, Duration(0));
}

AttemptAnswer ReadTargetAnswer(const HttpResponse& aAnswer)
{
  constexpr int kServiceUnavailable = 503;
  AttemptAnswer answer;
  answer.status = aAnswer.status;
  answer.notRun = aAnswer.status == kServiceUnavailable &&
                  HasValue(aAnswer.fields, "Target-Not-Run", "1");
  answer.draining = HasValue(aAnswer.fields, "Target-State", "draining");
  answer.cold = HasValue(aAnswer.fields, "Target-State", "cold");
  if (const std::string* instance = aAnswer.fields.Find("Target-Instance")) {
    answer.instance = InstanceId(*instance);
  }
  if (const std::string* load = aAnswer.fields.Find("Target-Load")) {
    answer.reportedLoad = ParseLoad(*load);
  }
  return answer;
}

} // namespace lacewing
