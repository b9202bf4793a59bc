#ifndef FLEET_STEPDELAY_H
#define FLEET_STEPDELAY_H

#include "lacewing/Clock.h"
#include "metrics/LatencyHistogram.h"
#include "metrics/MetricsPage.h"

#include <optional>

namespace lacewing {

/**
 * Measures how late the control thread runs its periodic step. A long delay,
 * which delays all that the host learns, is logged.
 */
class StepDelay
{
public:
  /** The step runs at aNow; the next one is due aPeriod later. */
  void OnStep(TimePoint aNow, Duration aPeriod);

  void AddMetrics(MetricsPage& aPage) const;

private:
  /** Unset before the first step. */
  std::optional<TimePoint> due_;
  LatencyHistogram delays_;
};

} // namespace lacewing

#endif // FLEET_STEPDELAY_H
