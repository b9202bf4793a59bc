#ifndef CATALOG_SERVICESPEC_H
#define CATALOG_SERVICESPEC_H

#include "lacewing/Clock.h"
#include "lacewing/ServiceId.h"

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
};

} // namespace lacewing

#endif // CATALOG_SERVICESPEC_H
