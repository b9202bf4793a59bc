#ifndef CHECK_CONFIGURATIONDIFFERENCES_H
#define CHECK_CONFIGURATIONDIFFERENCES_H

#include "catalog/ConfigurationSpec.h"
#include "check/Finding.h"

namespace lacewing {

/**
 * The differences of aNext from aCurrent: routes, services, customers and
 * limits that were added, removed or changed, keys by their number, and a
 * version that does not increase, which hosts ignore.
 */
Findings CompareConfigurations(const ConfigurationSpec& aCurrent,
                               const ConfigurationSpec& aNext);

} // namespace lacewing

#endif // CHECK_CONFIGURATIONDIFFERENCES_H
