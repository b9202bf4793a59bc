#ifndef ADMISSION_RETRYAFTER_H
#define ADMISSION_RETRYAFTER_H

#include "lacewing/Clock.h"

namespace lacewing {

/**
 * Returns when the caller of a refused request should come back. Answers a
 * burst of 1.3 to 1.8 times the capacity for some seconds: several other
 * requests end within a third of the latency objective, and a second attempt
 * that starts then can still be answered within the objective. Tested by
 * AdmissionTest.
 */
Duration RetryAfter(Duration aLatencyObjective);

} // namespace lacewing

#endif // ADMISSION_RETRYAFTER_H
