#ifndef HOST_HOSTOPTIONS_H
#define HOST_HOSTOPTIONS_H

#include "fleet/FleetOptions.h"
#include "fleet/HostIdentity.h"
#include "gateway/GatewayOptions.h"
#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"

#include <optional>
#include <string>

namespace lacewing {

/** All that one host process is told. */
struct HostOptions
{
  HostIdentity identity;
  FleetOptions fleet;
  GatewayOptions gateway;
  /** Where the platform's balancer asks whether this host takes callers. */
  Endpoint ready;
  std::string readyPath;
  /** Where metrics are served. */
  Endpoint metrics;
  std::string metricsPath;
  /** From the request to stop until the process is killed. */
  Duration grace = std::chrono::seconds(6);
};

} // namespace lacewing

#endif // HOST_HOSTOPTIONS_H
