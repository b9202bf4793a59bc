#ifndef CTL_STOREDCONFIG_H
#define CTL_STOREDCONFIG_H

#include "config/LoadedConfig.h"
#include "lacewing/ObjectTag.h"

#include <optional>

namespace lacewing {

/** The configuration as read from the store. */
struct StoredConfig
{
  LoadedConfig loaded;
  /** Tag of the head; none if there is no configuration yet. */
  std::optional<ObjectTag> headTag;
};

} // namespace lacewing

#endif // CTL_STOREDCONFIG_H
