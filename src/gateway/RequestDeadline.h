#ifndef GATEWAY_REQUESTDEADLINE_H
#define GATEWAY_REQUESTDEADLINE_H

#include "lacewing/Clock.h"

#include <string>

namespace lacewing {

/**
 * The deadline of a request that arrived at aStart: aStart plus the shorter of
 * the caller's timeout (aText, in milliseconds) and the route's timeout
 * aTimeout.
 */
TimePoint DeadlineOf(const std::string& aText,
                     TimePoint aStart,
                     Duration aTimeout);

/** The duration in milliseconds, rounded towards zero, as a decimal number. */
std::string MillisecondsText(Duration aDuration);

} // namespace lacewing

#endif // GATEWAY_REQUESTDEADLINE_H
