#ifndef ADMISSION_WAITLIMIT_H
#define ADMISSION_WAITLIMIT_H

#include "lacewing/Clock.h"

namespace lacewing {

/** How often a waiting request looks for a target again. */
constexpr Duration kRecheckInterval = std::chrono::milliseconds(25);

/**
 * Whether a request without a target may wait for the next search. Answers
 * moments in which all targets are full or slow: load changes within
 * milliseconds, so a short wait often ends with a target, and a longer one only
 * delays the refusal. A request waits for at most an eighth of its latency
 * objective, and never beyond its deadline. Tested by AdmissionTest.
 */
bool MayWait(TimePoint aNow,
             TimePoint aStart,
             Duration aLatencyObjective,
             TimePoint aDeadline);

} // namespace lacewing

#endif // ADMISSION_WAITLIMIT_H
