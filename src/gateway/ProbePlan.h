#ifndef GATEWAY_PROBEPLAN_H
#define GATEWAY_PROBEPLAN_H

#include "balance/ProbeBudget.h"
#include "gateway/ProbeRound.h"

#include <memory>

namespace lacewing {

/** Which probes a search for a target may send. */
class ProbePlan
{
public:
  /**
   * aBudget is null without a limit. aUnderPressure: searches of the service
   * rarely find a good target. aReportsLoad: the targets report their load.
   */
  ProbePlan(std::shared_ptr<ProbeBudget> aBudget,
            bool aUnderPressure,
            bool aReportsLoad);

  /** Whether there is a further round. */
  bool HasRound() const { return rounds_ < maxRounds_; }

  /** Begins the next round. */
  ProbeRound NextRound();

  /** Whether the budget allows a probe; remembers if it does not. */
  bool Allows();

  /** Whether the budget has denied a probe of this search. */
  bool Denied() const { return denied_; }

  /** Whether one probe may be sent beyond the budget, once a search. */
  bool MayOverdraw() const;

  /** Counts a probe that was sent. */
  void Count();

private:
  const std::shared_ptr<ProbeBudget> budget_;
  const bool reportsLoad_;
  /** The budget was nearly used up when the search began. */
  const bool sparing_;
  const unsigned maxRounds_;
  unsigned rounds_ = 0;
  bool denied_ = false;
  bool overdrawn_ = false;
};

} // namespace lacewing

#endif // GATEWAY_PROBEPLAN_H
