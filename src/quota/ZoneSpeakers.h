#ifndef QUOTA_ZONESPEAKERS_H
#define QUOTA_ZONESPEAKERS_H

#include "lacewing/ZoneId.h"
#include "wire/HostAddress.h"

#include <vector>

namespace lacewing {

/** A live zone and its speakers. */
struct ZoneSpeakers
{
  ZoneId zone;
  /** Empty if they are not known. */
  std::vector<HostAddress> speakers;
};

} // namespace lacewing

#endif // QUOTA_ZONESPEAKERS_H
