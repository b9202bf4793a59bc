#ifndef WIRE_SENTTIME_H
#define WIRE_SENTTIME_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/**
 * When a grant was asked for, in nanoseconds of the asker's monotonic clock.
 * Every hop echoes it unchanged, and only the asker interprets it.
 */
using SentTime = StrongNumber<struct SentTimeTag>;

} // namespace lacewing

#endif // WIRE_SENTTIME_H
