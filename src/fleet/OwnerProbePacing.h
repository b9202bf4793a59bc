#ifndef FLEET_OWNERPROBEPACING_H
#define FLEET_OWNERPROBEPACING_H

#include "balance/ProbeLimits.h"
#include "balance/RecentHosts.h"
#include "lacewing/Clock.h"

namespace lacewing {

/**
 * Decides when an owner probes its targets. On each side of a network partition
 * a target has an owner of its own; on small sides owners probe less often, so
 * that all of them together keep to their part of the limit.
 */
class OwnerProbePacing
{
public:
  /** aStart: when this host started. */
  explicit OwnerProbePacing(TimePoint aStart)
    : hosts_(aStart)
  {
  }

  /**
   * Called each kOwnerProbePeriod; whether the targets are to be probed now.
   * aAlive: the live hosts, this one included.
   */
  bool Due(const ProbeLimits& aLimits, unsigned aAlive, TimePoint aNow);

private:
  RecentHosts hosts_;
  /** The part of a probe that has become due. */
  double due_ = 0;
};

} // namespace lacewing

#endif // FLEET_OWNERPROBEPACING_H
