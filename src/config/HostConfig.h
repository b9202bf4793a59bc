#ifndef CONFIG_HOSTCONFIG_H
#define CONFIG_HOSTCONFIG_H

#include "config/Lifecycle.h"
#include "lacewing/HostId.h"
#include "lacewing/ZoneId.h"

namespace lacewing {

/** One entry host as the operators describe it. */
struct HostConfig
{
  HostId id;
  ZoneId zone;
  Lifecycle lifecycle = Lifecycle::kInService;
};

} // namespace lacewing

#endif // CONFIG_HOSTCONFIG_H
