#ifndef DECISION_LEASEWRITE_H
#define DECISION_LEASEWRITE_H

#include "decision/LeaseRecord.h"
#include "lacewing/ObjectTag.h"

#include <optional>

namespace lacewing {

/** Action: write the lease object on a condition. */
struct LeaseWrite
{
  LeaseRecord record;
  /** The tag that must be current; without one, no object may exist. */
  std::optional<ObjectTag> currentTag;
};

} // namespace lacewing

#endif // DECISION_LEASEWRITE_H
