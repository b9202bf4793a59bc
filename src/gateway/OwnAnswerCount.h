#ifndef GATEWAY_OWNANSWERCOUNT_H
#define GATEWAY_OWNANSWERCOUNT_H

#include "gateway/GatewayCounters.h"
#include "gateway/OwnAnswer.h"

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

#endif // GATEWAY_OWNANSWERCOUNT_H
