#ifndef LACEWING_INSTANCEID_H
#define LACEWING_INSTANCEID_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Identifies one run of a target; changes with each start. */
using InstanceId = StrongString<struct InstanceIdTag>;

} // namespace lacewing

#endif // LACEWING_INSTANCEID_H
