#ifndef CATALOG_SERVICESPEC_H
#define CATALOG_SERVICESPEC_H

#include "lacewing/Clock.h"
#include "lacewing/ServiceId.h"

#include <string>

namespace lacewing {

/** What the operator says of a service. */
struct ServiceSpec
{
  ServiceId id;
  std::string healthPath;
  /** How long a target stays cold after its start. */
  Duration warmUp{ 0 };
  /** Requests a second that a cold target bears. */
  double warmUpRate = 0;
};

} // namespace lacewing

#endif // CATALOG_SERVICESPEC_H
