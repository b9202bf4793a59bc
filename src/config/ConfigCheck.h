#ifndef CONFIG_CONFIGCHECK_H
#define CONFIG_CONFIGCHECK_H

#include "config/Configuration.h"
#include "lacewing/Outcome.h"

namespace lacewing {

/**
 * Checks what single objects cannot show: known zones, target ids and
 * addresses unique over all services, cold-start limits within the slots.
 */
Outcome<void> CheckConfiguration(const Configuration& aConfiguration);

} // namespace lacewing

#endif // CONFIG_CONFIGCHECK_H
