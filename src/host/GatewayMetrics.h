#ifndef HOST_GATEWAYMETRICS_H
#define HOST_GATEWAYMETRICS_H

#include "gateway/GatewayCounters.h"

#include <string>

namespace lacewing {

/** Formats the traffic thread's counters in the text exposition format. */
std::string GatewayMetricsText(const GatewayCounters& aCounters);

} // namespace lacewing

#endif // HOST_GATEWAYMETRICS_H
