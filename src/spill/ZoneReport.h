#ifndef SPILL_ZONEREPORT_H
#define SPILL_ZONEREPORT_H

#include "lacewing/ZoneId.h"
#include "spill/ZoneLoad.h"

namespace lacewing {

/** The load of a service in a zone, with its age at the time of a decision. */
struct ZoneReport
{
  ZoneId zone;
  ZoneLoad load;
};

} // namespace lacewing

#endif // SPILL_ZONEREPORT_H
