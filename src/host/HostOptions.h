#ifndef HOST_HOSTOPTIONS_H
#define HOST_HOSTOPTIONS_H

#include "fleet/FleetOptions.h"
#include "fleet/HostIdentity.h"
#include "gateway/GatewayOptions.h"
#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"
#include "quota/AllowanceOptions.h"

#include <optional>
#include <string>

namespace lacewing {

/** Settings of a host process. */
struct HostOptions
{
  HostIdentity identity;
  FleetOptions fleet;
  GatewayOptions gateway;
  /** Empty if customers' limits are not applied. */
  std::optional<AllowanceOptions> allowances;
  /** Where the platform's balancer polls whether this host is ready. */
  Endpoint readyEndpoint;
  std::string readyPath;
  /** Where the metrics page is served. */
  Endpoint metricsEndpoint;
  std::string metricsPath;
  /** Time from the request to stop until the process is killed. */
  Duration gracePeriod = std::chrono::seconds(6);
};

} // namespace lacewing

#endif // HOST_HOSTOPTIONS_H
