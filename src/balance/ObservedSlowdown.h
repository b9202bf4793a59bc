#ifndef BALANCE_OBSERVEDSLOWDOWN_H
#define BALANCE_OBSERVEDSLOWDOWN_H

#include "lacewing/Clock.h"

#include <vector>

namespace lacewing {

/**
 * Estimates how slow a target is from this host's own requests. Answers the
 * case of a service whose targets do not report their load.
 */
class ObservedSlowdown
{
public:
  void OnSent(TimePoint aNow);
  /** The request that was sent at aSentAt has ended, whatever its result. */
  void OnEnded(TimePoint aSentAt);
  /** A response took aFactor times the usual service time. */
  void OnResponse(TimePoint aNow, double aFactor);

  /**
   * How long requests take, in percent of aUsual. The estimate decays towards
   * 100 after the last response; a request that is overdue raises it at once.
   */
  unsigned PercentAt(TimePoint aNow, Duration aUsual) const;

private:
  double FactorAt(TimePoint aNow) const;

  double factor_ = 1;
  TimePoint factorAt_;
  /** When the requests in progress were sent, the oldest first. */
  std::vector<TimePoint> open_;
};

} // namespace lacewing

#endif // BALANCE_OBSERVEDSLOWDOWN_H
