#ifndef GATEWAY_LOCALRESPONSECOUNT_H
#define GATEWAY_LOCALRESPONSECOUNT_H

#include "gateway/GatewayCounters.h"
#include "gateway/LocalResponse.h"

#include <cstdint>

namespace lacewing {

/** The counter and the logged outcome of one kind of local response. */
struct LocalResponseCount
{
  LocalResponseKind kind;
  std::uint64_t GatewayCounters::*counter;
  const char* outcome;
};

const LocalResponseCount& LocalResponseCountOf(LocalResponseKind aKind);

} // namespace lacewing

#endif // GATEWAY_LOCALRESPONSECOUNT_H
