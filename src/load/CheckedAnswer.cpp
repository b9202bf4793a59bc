#include "load/CheckedAnswer.h"

#include "load/AnswerBody.h"

namespace lacewing {

namespace {

std::string FieldOr(const HttpResponse& aResponse,
                    const char* aName,
                    const char* aDefault)
{
  const std::string* value = aResponse.fields.Find(aName);
  return value ? *value : aDefault;
}

CheckedAnswer CheckEnd(HttpCallEnd aEnd)
{
  switch (aEnd) {
    case HttpCallEnd::kNotSent:
      return { Verdict::kError, "not-sent" };
    case HttpCallEnd::kLost:
      return { Verdict::kUnknown, "connection-lost" };
    case HttpCallEnd::kTimedOut:
      return { Verdict::kUnknown, "no-answer-in-time" };
    case HttpCallEnd::kTooLarge:
      return { Verdict::kMismatched, "too-large" };
    case HttpCallEnd::kAnswered:
      break;
  }
  return { Verdict::kWhole, "answered" };
}

std::string OutcomeOf(const HttpResponse& aResponse, bool aDirect)
{
  if (aDirect) {
    return aResponse.fields.Find("Target-Not-Run") ? "not-run" : "ran";
  }
  return FieldOr(aResponse, "Lacewing-Outcome", "");
}

CheckedAnswer CheckBody(const std::string& aBody,
                        const ExpectedAnswer& aExpected)
{
  const std::string expected =
    MakeAnswerBody(aExpected.method,
                   aExpected.target,
                   aExpected.requestBody ? *aExpected.requestBody : "");
  if (aBody == expected) {
    return { Verdict::kWhole, "answered" };
  }
  return aBody.size() < expected.size()
           ? CheckedAnswer{ Verdict::kShort, "short" }
           : CheckedAnswer{ Verdict::kMismatched, "mismatched" };
}

} // namespace

CheckedAnswer CheckAnswer(const HttpCallResult& aResult,
                          const ExpectedAnswer& aExpected)
{
  if (aResult.end != HttpCallEnd::kAnswered) {
    return CheckEnd(aResult.end);
  }
  const HttpResponse& response = aResult.response;
  const std::string outcome = OutcomeOf(response, aExpected.direct);
  if (outcome == "not-run") {
    return { Verdict::kNotRun,
             FieldOr(response, "Lacewing-Reason", "refused") };
  }
  if (outcome == "unknown") {
    return { Verdict::kUnknown, FieldOr(response, "Lacewing-Reason", "none") };
  }
  if (outcome != "ran") {
    return { Verdict::kError, "no-outcome" };
  }
  if (response.status != 200) {
    return { Verdict::kError, "status-" + std::to_string(response.status) };
  }
  return CheckBody(response.body, aExpected);
}

} // namespace lacewing
