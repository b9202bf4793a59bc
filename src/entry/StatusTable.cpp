#include "entry/StatusTable.h"

namespace lacewing {

namespace {

int StatusCode(FinishReason aReason)
{
  switch (aReason) {
    case FinishReason::kAnswered:
      return 200;
    case FinishReason::kUnknownService:
      return 404;
    case FinishReason::kNoTarget:
    case FinishReason::kOverload:
    case FinishReason::kNotAccepted:
    case FinishReason::kStopping:
      return 503;
    case FinishReason::kDeadlineBeforeSend:
    case FinishReason::kTimeout:
      return 504;
    case FinishReason::kConnectionLost:
    case FinishReason::kAnswerTooLarge:
      return 502;
  }
  return 502;
}

} // namespace

StatusRow StatusOf(FinishReason aReason)
{
  constexpr int kServiceUnavailable = 503;
  const int status = StatusCode(aReason);
  return { status, ToString(aReason), status == kServiceUnavailable };
}

StatusRow StatusOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::kBadRequest:
      return { 400, "bad-request", false };
    case RefusalReason::kBodyTooLarge:
      return { 413, "body-too-large", false };
    case RefusalReason::kFieldsTooLarge:
      return { 431, "fields-too-large", false };
    case RefusalReason::kBuffersFull:
      return { 503, ToString(FinishReason::kOverload), true };
    case RefusalReason::kNotReady:
      return { 503, "not-ready", true };
  }
  return { 400, "bad-request", false };
}

} // namespace lacewing
