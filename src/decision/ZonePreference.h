#ifndef DECISION_ZONEPREFERENCE_H
#define DECISION_ZONEPREFERENCE_H

#include "decision/RoutingContext.h"

namespace lacewing {

/**
 * How much more load a target of the own zone may have before one of another
 * zone is preferred, in requests. It shrinks while answers of the own zone
 * take longer than those of other zones, because then the own zone has more
 * callers than its targets can serve, and grows again slowly.
 */
class ZonePreference
{
public:
  double Value() const;
  /** Looks at the targets' recent answer times at most each kPeriod. */
  void Update(const RoutingContext& aContext);

private:
  TimePoint updated_;
  double most_ = 0;
  /** Starts at none, so that a start never overloads the own zone. */
  double share_ = 0;
};

} // namespace lacewing

#endif // DECISION_ZONEPREFERENCE_H
