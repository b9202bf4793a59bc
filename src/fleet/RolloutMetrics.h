#ifndef FLEET_ROLLOUTMETRICS_H
#define FLEET_ROLLOUTMETRICS_H

#include "fleet/OrderEvidence.h"
#include "metrics/MetricsPage.h"
#include "rollout/RolloutDirective.h"
#include "rollout/RolloutOrder.h"

namespace lacewing {

/**
 * Adds the metrics of one order, by service and version. aEvidence is null for
 * an order that has ended.
 */
void AddRolloutMetrics(MetricsPage& aPage,
                       const RolloutOrder& aOrder,
                       const RolloutDirective& aInForce,
                       const OrderEvidence* aEvidence,
                       TimePoint aNow);

} // namespace lacewing

#endif // FLEET_ROLLOUTMETRICS_H
