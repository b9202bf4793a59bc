#ifndef DECISION_GRANTTERMS_H
#define DECISION_GRANTTERMS_H

#include "decision/ClockMargin.h"
#include "lacewing/Clock.h"

#include <cstddef>

namespace lacewing {

/** Times and bounds of cold-start grants, equal on all hosts. */
struct GrantTerms
{
  /** How long a grant allows new sends. */
  Duration grantTime = std::chrono::seconds(1);
  /** Longest deadline of any request that may be sent under a grant. */
  Duration longestDeadline = std::chrono::seconds(10);
  /** A want that is not repeated is dropped after this time. */
  Duration wantTime = std::chrono::milliseconds(500);
  /** Askers remembered per target; bounds the ledger's memory. */
  std::size_t maxAskers = 64;
  ClockMargin margin;
};

} // namespace lacewing

#endif // DECISION_GRANTTERMS_H
