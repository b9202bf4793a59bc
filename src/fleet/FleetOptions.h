#ifndef FLEET_FLEETOPTIONS_H
#define FLEET_FLEETOPTIONS_H

#include "balance/ColdTerms.h"
#include "gateway/HeaderNames.h"

namespace lacewing {

/** What a deployment fixes for its control threads. */
struct FleetOptions
{
  ColdTerms cold;
  HeaderNames names;
};

} // namespace lacewing

#endif // FLEET_FLEETOPTIONS_H
