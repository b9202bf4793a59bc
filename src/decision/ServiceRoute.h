#ifndef DECISION_SERVICEROUTE_H
#define DECISION_SERVICEROUTE_H

#include "decision/TargetRoute.h"
#include "lacewing/ConnectionCount.h"
#include "lacewing/ServiceId.h"
#include "lacewing/SlotCount.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/** What a traffic worker needs to know of one service. */
struct ServiceRoute
{
  ServiceId id;
  SlotCount slots{ 1 };
  /** Connections of this worker to each target. */
  ConnectionCount connections{ 8 };
  std::set<std::string> idempotentMethods;
  std::chrono::milliseconds deadline{ 10000 };
  /** Only targets that may take new work, ordered by id. */
  std::vector<TargetRoute> targets;
};

} // namespace lacewing

#endif // DECISION_SERVICEROUTE_H
