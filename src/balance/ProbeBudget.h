#ifndef BALANCE_PROBEBUDGET_H
#define BALANCE_PROBEBUDGET_H

#include "balance/ProbeShare.h"
#include "lacewing/Clock.h"

namespace lacewing {

/**
 * The probes that this host may send in searches for targets of one service. If
 * each host keeps to its budget, all of them keep to the limit in the mean over
 * some tens of seconds, however many requests come.
 */
class ProbeBudget
{
public:
  ProbeBudget(const ProbeLimits& aLimits,
              const ProbeShare& aShare,
              TimePoint aNow);

  /** Adds the probes that have become due since the last call. */
  void Update(const ProbeLimits& aLimits,
              const ProbeShare& aShare,
              TimePoint aNow);

  /** Whether little of the burst is left. */
  bool Low() const;

  /** Whether a probe may be sent. */
  bool Has() const { return tokens_ >= 1; }

  /** Whether a probe that cannot be done without may be sent. */
  bool MayOverdraw() const { return tokens_ - 1 >= -Debt(); }

  /** Counts a probe that was sent; Has() or MayOverdraw() must hold. */
  void Count();

private:
  double Burst() const;
  /** How far probes that cannot be done without may overdraw the budget. */
  double Debt() const;

  const TimePoint startedAt_;
  TimePoint updatedAt_;
  double rate_;
  double tokens_;
  /** Probes sent while the number of hosts was a guess. */
  double sentProvisionally_ = 0;
  bool provisional_;
};

} // namespace lacewing

#endif // BALANCE_PROBEBUDGET_H
