#ifndef CHECK_CUSTOMERCHECK_H
#define CHECK_CUSTOMERCHECK_H

#include "catalog/ConfigurationSpec.h"
#include "check/Finding.h"

namespace lacewing {

/** Checks names, keys and limits of the customers. */
void CheckCustomers(const ConfigurationSpec& aSpec, Findings& aFindings);

} // namespace lacewing

#endif // CHECK_CUSTOMERCHECK_H
