#ifndef BALANCE_OWNERCANDIDATE_H
#define BALANCE_OWNERCANDIDATE_H

#include "lacewing/HostId.h"
#include "lacewing/ZoneId.h"

namespace lacewing {

/** A live host that may be assigned a task, such as owning a target. */
struct OwnerCandidate
{
  HostId host;
  ZoneId zone;
};

} // namespace lacewing

#endif // BALANCE_OWNERCANDIDATE_H
