#ifndef FLEET_FLEETOPTIONS_H
#define FLEET_FLEETOPTIONS_H

#include "balance/ColdStartLimits.h"
#include "gateway/HeaderNames.h"

namespace lacewing {

/** Deployment settings of the control thread. */
struct FleetOptions
{
  ColdStartLimits cold;
  HeaderNames names;
};

} // namespace lacewing

#endif // FLEET_FLEETOPTIONS_H
