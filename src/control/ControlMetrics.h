#ifndef CONTROL_CONTROLMETRICS_H
#define CONTROL_CONTROLMETRICS_H

#include <string>

namespace lacewing {

class ControlState;

/** The counters in the text exposition format, for /metrics. */
std::string MakeControlMetrics(const ControlState& aState);

} // namespace lacewing

#endif // CONTROL_CONTROLMETRICS_H
