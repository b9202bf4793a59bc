#ifndef CHECK_LIMITCHECK_H
#define CHECK_LIMITCHECK_H

#include "catalog/ConfigurationSpec.h"
#include "check/Finding.h"

namespace lacewing {

/** Checks the limits on callers' requests and connections. */
void CheckLimits(const ConfigurationSpec& aSpec, Findings& aFindings);

} // namespace lacewing

#endif // CHECK_LIMITCHECK_H
