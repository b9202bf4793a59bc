#ifndef CONFIG_ZONECONFIG_H
#define CONFIG_ZONECONFIG_H

#include "config/Lifecycle.h"
#include "lacewing/ZoneId.h"

namespace lacewing {

/** One availability zone as the operators describe it. */
struct ZoneConfig
{
  ZoneId id;
  Lifecycle lifecycle = Lifecycle::kInService;
};

} // namespace lacewing

#endif // CONFIG_ZONECONFIG_H
