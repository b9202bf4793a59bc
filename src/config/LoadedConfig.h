#ifndef CONFIG_LOADEDCONFIG_H
#define CONFIG_LOADEDCONFIG_H

#include "config/ConfigHead.h"
#include "config/Configuration.h"

#include <memory>

namespace lacewing {

/** A head together with the configuration made from it. */
struct LoadedConfig
{
  ConfigHead head;
  std::shared_ptr<const Configuration> configuration;
};

} // namespace lacewing

#endif // CONFIG_LOADEDCONFIG_H
