#ifndef BALANCE_OWNERCANDIDATE_H
#define BALANCE_OWNERCANDIDATE_H

#include "lacewing/HostId.h"
#include "lacewing/ZoneId.h"

namespace lacewing {

/** A live host that may take over a task. */
struct OwnerCandidate
{
  HostId host;
  ZoneId zone;
};

} // namespace lacewing

#endif // BALANCE_OWNERCANDIDATE_H
