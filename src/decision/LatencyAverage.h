#ifndef DECISION_LATENCYAVERAGE_H
#define DECISION_LATENCYAVERAGE_H

#include "lacewing/Clock.h"

namespace lacewing {

/**
 * Moving average of answer times in which one very slow answer counts at
 * most as four times the average.
 */
class LatencyAverage
{
public:
  void Add(Duration aLatency);
  /** Zero before the first answer. */
  Duration Value() const { return average_; }

private:
  Duration average_{ 0 };
};

} // namespace lacewing

#endif // DECISION_LATENCYAVERAGE_H
