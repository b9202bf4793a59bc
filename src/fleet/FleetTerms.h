#ifndef FLEET_FLEETTERMS_H
#define FLEET_FLEETTERMS_H

#include "balance/ColdStartLimits.h"
#include "gateway/HeaderNames.h"

namespace lacewing {

/** What a deployment fixes for its control threads. */
struct FleetTerms
{
  ColdStartLimits cold;
  HeaderNames names;
};

} // namespace lacewing

#endif // FLEET_FLEETTERMS_H
