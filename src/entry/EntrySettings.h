#ifndef ENTRY_ENTRYSETTINGS_H
#define ENTRY_ENTRYSETTINGS_H

#include "config/Configuration.h"
#include "entry/EntryLimits.h"
#include "lacewing/Endpoint.h"
#include "lacewing/HostId.h"
#include "lacewing/ZoneId.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace lacewing {

/** Settings of lacewing-entryd. */
struct EntrySettings
{
  /** Peers of another deployment are refused. */
  std::string deployment = "default";
  HostId host;
  ZoneId zone;
  /** Where callers connect; every worker listens on it. */
  Endpoint callers;
  Endpoint admin;
  /** Message port of the controld on this host; empty without one. */
  std::optional<Endpoint> controld;
  unsigned workers = 1;
  EntryLimits limits;
  /** Time between /ready turning false and the end of listening. */
  std::chrono::milliseconds drainDelay{ 5000 };
  std::string strategy = "zone-slots";
  std::uint64_t seed = 1;
  std::string logLevel = "info";
  /** Services known without controld; null when controld supplies them. */
  std::shared_ptr<const Configuration> fixed;
};

} // namespace lacewing

#endif // ENTRY_ENTRYSETTINGS_H
