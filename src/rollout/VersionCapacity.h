#ifndef ROLLOUT_VERSIONCAPACITY_H
#define ROLLOUT_VERSIONCAPACITY_H

#include "lacewing/SlotCount.h"

namespace lacewing {

/** The usable targets of one version of a service: listed, warm, not leaving.
 */
struct VersionCapacity
{
  unsigned targets = 0;
  SlotCount slots;
};

} // namespace lacewing

#endif // ROLLOUT_VERSIONCAPACITY_H
