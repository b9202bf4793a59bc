#include "rollout/BadResponse.h"

namespace lacewing {

namespace {

// A bad version's responses take several times (8) as long; service times vary
// by a factor of two by themselves.
constexpr double kSlowFactor = 3;
constexpr double kPercent = 100;

bool IsTooSlow(const FinishedAttempt& aAttempt)
{
  const std::chrono::duration<double> typical = aAttempt.typical;
  return aAttempt.typical > Duration(0) &&
         aAttempt.latency >
           typical * (kSlowFactor * aAttempt.slowdownPercent / kPercent);
}

} // namespace

AttemptEvidence ClassifyAttempt(const FinishedAttempt& aAttempt)
{
  if (aAttempt.coldTarget || aAttempt.end == AttemptEnd::kNotRun) {
    return AttemptEvidence::kNone;
  }
  if (aAttempt.end == AttemptEnd::kFailure || IsTooSlow(aAttempt)) {
    return AttemptEvidence::kBad;
  }
  return aAttempt.end == AttemptEnd::kCancelled ? AttemptEvidence::kNone
                                                : AttemptEvidence::kGood;
}

} // namespace lacewing
