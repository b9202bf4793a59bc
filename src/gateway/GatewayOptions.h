#ifndef GATEWAY_GATEWAYOPTIONS_H
#define GATEWAY_GATEWAYOPTIONS_H

#include "balance/RetryLimits.h"
#include "gateway/HeaderNames.h"
#include "lacewing/Endpoint.h"

#include <cstdint>

namespace lacewing {

/** How a host's traffic thread is set up. */
struct GatewayOptions
{
  /** Where callers connect. */
  Endpoint front;
  HeaderNames names;
  RetryLimits repeats;
  /** Seed of random choices. */
  std::uint64_t seed = 1;
};

} // namespace lacewing

#endif // GATEWAY_GATEWAYOPTIONS_H
