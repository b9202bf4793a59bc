#ifndef GATEWAY_GATEWAYACTIVITY_H
#define GATEWAY_GATEWAYACTIVITY_H

#include "lacewing/Clock.h"

#include <cstddef>

namespace lacewing {

/** Whether a gateway is still in use. */
struct GatewayActivity
{
  /** Connections with a request in progress or a response being written. */
  std::size_t busy = 0;
  /** When the last request arrived. */
  TimePoint lastRequest;
};

} // namespace lacewing

#endif // GATEWAY_GATEWAYACTIVITY_H
