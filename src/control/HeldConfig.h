#ifndef CONTROL_HELDCONFIG_H
#define CONTROL_HELDCONFIG_H

#include "config/LoadedConfig.h"

#include <map>
#include <memory>
#include <string>

namespace lacewing {

/** A configuration with the bytes of its objects, for other processes. */
struct HeldConfig
{
  LoadedConfig loaded;
  std::map<ObjectName, std::shared_ptr<const std::string>> blobs;
};

} // namespace lacewing

#endif // CONTROL_HELDCONFIG_H
