#ifndef BALANCE_ELIGIBILITY_H
#define BALANCE_ELIGIBILITY_H

#include "balance/Candidate.h"
#include "lacewing/Clock.h"

namespace lacewing {

/** Whether this host may send a request to a target now. */
enum class Eligibility
{
  /** The target is warm, or cold with some of this host's quota left. */
  kEligible,
  /** The target's health is unknown; a probe shows whether it is warm. */
  kNeedsProbe,
  /** The target is cold, and this host's quota for it is used up. */
  kNotEligible,
};

Eligibility EligibilityOf(const Candidate& aCandidate, TimePoint aNow);

/** Whether a target is known to have finished its cold start. */
bool IsWarm(const Candidate& aCandidate, TimePoint aNow);

} // namespace lacewing

#endif // BALANCE_ELIGIBILITY_H
