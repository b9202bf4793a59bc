#ifndef ROLLOUT_BADRESPONSE_H
#define ROLLOUT_BADRESPONSE_H

#include "rollout/AttemptEvidence.h"
#include "rollout/FinishedAttempt.h"

namespace lacewing {

/**
 * Classifies one finished attempt. A failure is bad, and so is an attempt that
 * took more than three times the typical service time multiplied by the
 * slowdown that the target reported. Attempts at cold targets and attempts that
 * did not run are no evidence. A cancelled attempt is evidence only if it was
 * already too slow: hedges would otherwise hide a slow version.
 */
AttemptEvidence ClassifyAttempt(const FinishedAttempt& aAttempt);

} // namespace lacewing

#endif // ROLLOUT_BADRESPONSE_H
