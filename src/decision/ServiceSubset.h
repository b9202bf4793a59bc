#ifndef DECISION_SERVICESUBSET_H
#define DECISION_SERVICESUBSET_H

#include "decision/TargetRoute.h"
#include "lacewing/ConnectionCount.h"

#include <vector>

namespace lacewing {

/** The part of a service's targets that one entry host uses. */
struct ServiceSubset
{
  /** Ordered by id. */
  std::vector<TargetRoute> targets;
  /** Connections of the whole host to each of the targets. */
  ConnectionCount connections;
};

} // namespace lacewing

#endif // DECISION_SERVICESUBSET_H
