#ifndef DECISION_SENDATTEMPT_H
#define DECISION_SENDATTEMPT_H

#include "lacewing/AttemptId.h"
#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"
#include "lacewing/RequestId.h"
#include "lacewing/TargetId.h"

namespace lacewing {

/** Action: send the request to the target now. */
struct SendAttempt
{
  RequestId request;
  AttemptId attempt;
  TargetId target;
  Endpoint endpoint;
  /** Whether the transport may send it again by itself. */
  bool idempotent = false;
  TimePoint deadline;
};

} // namespace lacewing

#endif // DECISION_SENDATTEMPT_H
