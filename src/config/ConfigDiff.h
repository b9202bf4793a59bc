#ifndef CONFIG_CONFIGDIFF_H
#define CONFIG_CONFIGDIFF_H

#include "config/ConfigChange.h"
#include "config/Configuration.h"

#include <vector>

namespace lacewing {

/**
 * All changes between two configurations: zones, hosts, services and then
 * targets, each in the order of their ids. A target that moves to another
 * service is one change of its field "service".
 */
std::vector<ConfigChange> DiffConfigurations(const Configuration& aBefore,
                                             const Configuration& aAfter);

} // namespace lacewing

#endif // CONFIG_CONFIGDIFF_H
