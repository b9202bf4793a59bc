#ifndef CONFIG_SERVICECONFIG_H
#define CONFIG_SERVICECONFIG_H

#include "config/TargetConfig.h"
#include "lacewing/BasisPoints.h"
#include "lacewing/ConnectionCount.h"
#include "lacewing/ServiceId.h"
#include "lacewing/SlotCount.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/** One service with its targets as the operators describe it. */
struct ServiceConfig
{
  ServiceId id;
  /** Requests that each target runs at the same time. */
  SlotCount slots{ 1 };
  /** Connections that each target accepts over all entry hosts together. */
  ConnectionCount connections{ 100 };
  std::set<std::string> idempotentMethods{ "GET", "HEAD", "OPTIONS" };
  /** Longest time of a request, waiting included. */
  std::chrono::milliseconds deadline{ 10000 };
  /** Share of each target's slot time that active probes may take. */
  BasisPoints measuringBudget{ 100 };
  /** Requests that a target in a cold start bears at the same time. */
  SlotCount coldLimit{ 1 };
  /** How long a started target stays cold. */
  std::chrono::milliseconds coldTime{ 3000 };
  /** How long the limit then takes to grow to all slots. */
  std::chrono::milliseconds rampTime{ 5000 };
  /** Ordered by id. */
  std::vector<TargetConfig> targets;
};

} // namespace lacewing

#endif // CONFIG_SERVICECONFIG_H
