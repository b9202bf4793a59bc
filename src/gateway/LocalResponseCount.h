#ifndef GATEWAY_LOCALRESPONSECOUNT_H
#define GATEWAY_LOCALRESPONSECOUNT_H

#include "gateway/GatewayCounters.h"
#include "gateway/LocalResponse.h"

#include <cstdint>

namespace lacewing {

/** How a host's own answer is counted and logged. */
struct OwnAnswerCount
{
  OwnAnswerKind kind;
  std::uint64_t GatewayCounters::*counter;
  const char* outcome;
};

const OwnAnswerCount& CountOf(OwnAnswerKind aKind);

} // namespace lacewing

#endif // GATEWAY_LOCALRESPONSECOUNT_H
