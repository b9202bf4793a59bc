#ifndef CONFIG_TARGETCONFIG_H
#define CONFIG_TARGETCONFIG_H

#include "config/Lifecycle.h"
#include "lacewing/Endpoint.h"
#include "lacewing/TargetId.h"
#include "lacewing/ZoneId.h"

namespace lacewing {

/** One target as the operators describe it. */
struct TargetConfig
{
  TargetId id;
  Endpoint endpoint;
  ZoneId zone;
  Lifecycle lifecycle = Lifecycle::kInService;
};

} // namespace lacewing

#endif // CONFIG_TARGETCONFIG_H
