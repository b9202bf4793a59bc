#ifndef SPILL_SPILLSHARE_H
#define SPILL_SPILLSHARE_H

#include "lacewing/ZoneId.h"

namespace lacewing {

/** The part of a zone's requests for a service that another zone gets. */
struct SpillShare
{
  ZoneId zone;
  /** 0 to 1, of all requests for the service at this zone's hosts. */
  double share = 0;
};

} // namespace lacewing

#endif // SPILL_SPILLSHARE_H
