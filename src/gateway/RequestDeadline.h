#ifndef GATEWAY_REQUESTDEADLINE_H
#define GATEWAY_REQUESTDEADLINE_H

#include "lacewing/Clock.h"

#include <string>

namespace lacewing {

/**
 * When a request ends at the latest: after the caller's patience, as aText
 * states it in milliseconds, or after the route's timeout.
 */
TimePoint DeadlineOf(const std::string& aText,
                     TimePoint aStart,
                     Duration aTimeout);

/** Whole milliseconds, as deadlines are stated. */
std::string MillisecondsText(Duration aDuration);

} // namespace lacewing

#endif // GATEWAY_REQUESTDEADLINE_H
