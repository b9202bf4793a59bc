#ifndef GATEWAY_UNANSWEREDCOUNT_H
#define GATEWAY_UNANSWEREDCOUNT_H

#include "gateway/CloseReason.h"
#include "gateway/GatewayCounters.h"

#include <cstdint>

namespace lacewing {

/** The counter of requests left unanswered by closing for aReason. */
std::uint64_t GatewayCounters::*UnansweredCounterOf(CloseReason aReason);

} // namespace lacewing

#endif // GATEWAY_UNANSWEREDCOUNT_H
