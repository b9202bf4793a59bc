#ifndef CORE_MONOTONICCLOCK_H
#define CORE_MONOTONICCLOCK_H

#include "lacewing/Clock.h"

namespace lacewing {

/** The machine's monotonic clock. */
class MonotonicClock final : public Clock
{
public:
  TimePoint Now() const override;
};

} // namespace lacewing

#endif // CORE_MONOTONICCLOCK_H
