#ifndef CHECK_FIELDTEXTS_H
#define CHECK_FIELDTEXTS_H

#include "catalog/CallerLimits.h"
#include "catalog/CustomerSpec.h"
#include "catalog/RouteSpec.h"
#include "catalog/ServiceSpec.h"

#include <string>
#include <utility>
#include <vector>

namespace lacewing {

/** Names of an entry's members with their values, for comparison. */
using FieldTexts = std::vector<std::pair<const char*, std::string>>;

/** All members but the name, in the same order for all entries of a type. */
FieldTexts FieldsOf(const RouteSpec& aRoute);
FieldTexts FieldsOf(const ServiceSpec& aService);
FieldTexts FieldsOf(const CallerLimits& aLimits);
/** Without the keys, which are secret. */
FieldTexts FieldsOf(const CustomerSpec& aCustomer);

} // namespace lacewing

#endif // CHECK_FIELDTEXTS_H
