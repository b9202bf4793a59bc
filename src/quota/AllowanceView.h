#ifndef QUOTA_ALLOWANCEVIEW_H
#define QUOTA_ALLOWANCEVIEW_H

#include "quota/ZoneSpeakers.h"

#include <vector>

namespace lacewing {

/** The hosts of the deployment as far as this host knows them. */
struct AllowanceView
{
  /** The live zones, the own one included. */
  std::vector<ZoneSpeakers> zones;
  /** Number of live hosts of all zones, this one included. */
  unsigned hosts = 1;
  /** Number of unresponsive hosts that may still run. */
  unsigned unresponsive = 0;
  /**
   * Whether this host knows enough of the others to own a customer. False
   * shortly after its start, and while it has heard none of its seeds.
   */
  bool settled = false;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEVIEW_H
