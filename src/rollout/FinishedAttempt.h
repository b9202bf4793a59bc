#ifndef ROLLOUT_FINISHEDATTEMPT_H
#define ROLLOUT_FINISHEDATTEMPT_H

#include "lacewing/Clock.h"
#include "rollout/AttemptEnd.h"

namespace lacewing {

/** One attempt that ended at a target of a service with a rollout. */
struct FinishedAttempt
{
  AttemptEnd end = AttemptEnd::kResponse;
  /** Whether the target was in its cold start when the attempt was sent. */
  bool coldTarget = false;
  /** From sending the request to the end of the attempt. */
  Duration latency{ 0 };
  /** Typical service time of the route; zero if it is not known. */
  Duration typical{ 0 };
  /** Slowdown that the target reported, in percent; 100 is none. */
  unsigned slowdownPercent = 100;
};

} // namespace lacewing

#endif // ROLLOUT_FINISHEDATTEMPT_H
