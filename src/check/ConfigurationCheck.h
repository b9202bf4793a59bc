#ifndef CHECK_CONFIGURATIONCHECK_H
#define CHECK_CONFIGURATIONCHECK_H

#include "catalog/ConfigurationSpec.h"
#include "check/Finding.h"

namespace lacewing {

/**
 * Finds errors, entries that can never match and limits that contradict each
 * other. More than one attempt on a route whose requests run at most once is
 * allowed, since attempts that were not run may be repeated.
 */
Findings CheckConfiguration(const ConfigurationSpec& aSpec);

} // namespace lacewing

#endif // CHECK_CONFIGURATIONCHECK_H
