#ifndef CONFIG_CONFIGURATION_H
#define CONFIG_CONFIGURATION_H

#include "config/HostConfig.h"
#include "config/ServiceConfig.h"
#include "config/ZoneConfig.h"
#include "lacewing/ConfigVersion.h"

#include <map>
#include <memory>

namespace lacewing {

/**
 * The whole configuration of one version. Services are shared between
 * versions, so a new version costs what it changes.
 */
struct Configuration
{
  ConfigVersion version;
  std::map<ServiceId, std::shared_ptr<const ServiceConfig>> services;
  std::map<ZoneId, ZoneConfig> zones;
  std::map<HostId, HostConfig> hosts;
};

} // namespace lacewing

#endif // CONFIG_CONFIGURATION_H
