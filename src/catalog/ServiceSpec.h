#ifndef CATALOG_SERVICESPEC_H
#define CATALOG_SERVICESPEC_H

#include "lacewing/Clock.h"
#include "lacewing/ConnectionCount.h"
#include "lacewing/ServiceId.h"

#include <optional>
#include <string>

namespace lacewing {

/** The configuration of a service. */
struct ServiceSpec
{
  ServiceId id;
  /** Path of the HTTP health check that probes request. */
  std::string healthPath;
  /** How long a target stays cold after its start. */
  Duration warmUp{ 0 };
  /** Requests per second that a cold target can process. */
  double warmUpRate = 0;
  /** Connections that a target accepts from all hosts; empty: no limit. */
  std::optional<ConnectionCount> maxConnections;
};

} // namespace lacewing

#endif // CATALOG_SERVICESPEC_H
