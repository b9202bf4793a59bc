#ifndef CHECK_SERVICECHECK_H
#define CHECK_SERVICECHECK_H

#include "catalog/ConfigurationSpec.h"
#include "check/Finding.h"

namespace lacewing {

/** Checks names, use and warm-up of the services. */
void CheckServices(const ConfigurationSpec& aSpec, Findings& aFindings);

} // namespace lacewing

#endif // CHECK_SERVICECHECK_H
