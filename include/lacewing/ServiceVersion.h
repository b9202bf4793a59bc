#ifndef LACEWING_SERVICEVERSION_H
#define LACEWING_SERVICEVERSION_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Names the version of a service's software that a target runs. */
using ServiceVersion = StrongString<struct ServiceVersionTag>;

} // namespace lacewing

#endif // LACEWING_SERVICEVERSION_H
