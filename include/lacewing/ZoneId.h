#ifndef LACEWING_ZONEID_H
#define LACEWING_ZONEID_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Names an availability zone. */
using ZoneId = StrongString<struct ZoneIdTag>;

} // namespace lacewing

#endif // LACEWING_ZONEID_H
