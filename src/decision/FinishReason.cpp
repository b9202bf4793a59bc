#include "decision/FinishReason.h"

namespace lacewing {

const char* ToString(FinishReason aReason)
{
  switch (aReason) {
    case FinishReason::kAnswered:
      return "answered";
    case FinishReason::kUnknownService:
      return "unknown-service";
    case FinishReason::kNoTarget:
      return "no-target";
    case FinishReason::kOverload:
      return "overload";
    case FinishReason::kDeadlineBeforeSend:
      return "deadline";
    case FinishReason::kNotAccepted:
      return "not-accepted";
    case FinishReason::kStopping:
      return "stopping";
    case FinishReason::kConnectionLost:
      return "connection-lost";
    case FinishReason::kTimeout:
      return "timeout";
    case FinishReason::kAnswerTooLarge:
      return "answer-too-large";
  }
  return "no-target";
}

} // namespace lacewing
