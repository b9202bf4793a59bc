#ifndef DECISION_ROUTINGSNAPSHOT_H
#define DECISION_ROUTINGSNAPSHOT_H

#include "decision/ServiceRoute.h"
#include "lacewing/ConfigVersion.h"
#include "lacewing/ZoneId.h"

#include <map>
#include <memory>

namespace lacewing {

/** Immutable routing state that the control thread hands to the workers. */
struct RoutingSnapshot
{
  ConfigVersion version;
  ZoneId ownZone;
  std::map<ServiceId, std::shared_ptr<const ServiceRoute>> services;
};

} // namespace lacewing

#endif // DECISION_ROUTINGSNAPSHOT_H
