#ifndef CHECK_ROUTECHECK_H
#define CHECK_ROUTECHECK_H

#include "catalog/ConfigurationSpec.h"
#include "check/Finding.h"

namespace lacewing {

/** Checks names, prefixes, services and times of the routes. */
void CheckRoutes(const ConfigurationSpec& aSpec, Findings& aFindings);

} // namespace lacewing

#endif // CHECK_ROUTECHECK_H
