#ifndef BALANCE_ELIGIBILITY_H
#define BALANCE_ELIGIBILITY_H

#include "balance/Candidate.h"
#include "lacewing/Clock.h"

namespace lacewing {

/** Whether a target may get a request now. */
enum class Eligibility
{
  /** It is warm, or cold with room in this host's quota. */
  kEligible,
  /** Its health is not known; a probe tells whether it is warm. */
  kNeedsProbe,
  /** It is cold, and this host has no room in its quota. */
  kNotEligible,
};

Eligibility EligibilityOf(const Candidate& aCandidate, TimePoint aNow);

/** Whether a target is known to bear its normal share. */
bool IsWarm(const Candidate& aCandidate, TimePoint aNow);

} // namespace lacewing

#endif // BALANCE_ELIGIBILITY_H
