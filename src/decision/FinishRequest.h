#ifndef DECISION_FINISHREQUEST_H
#define DECISION_FINISHREQUEST_H

#include "decision/Disposition.h"
#include "decision/FinishReason.h"
#include "lacewing/AttemptId.h"
#include "lacewing/Clock.h"
#include "lacewing/RequestId.h"

namespace lacewing {

/** Action: answer the caller. */
struct FinishRequest
{
  RequestId request;
  Disposition disposition = Disposition::kNotRun;
  FinishReason reason = FinishReason::kNoTarget;
  /** The attempt whose answer the caller gets when reason is kAnswered. */
  AttemptId attempt;
  /** When a new try may succeed; zero when unknown. */
  Duration retryAfter{ 0 };
};

} // namespace lacewing

#endif // DECISION_FINISHREQUEST_H
