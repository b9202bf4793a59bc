#ifndef LACEWING_TARGETID_H
#define LACEWING_TARGETID_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Names a target, unique over all services. */
using TargetId = StrongString<struct TargetIdTag>;

} // namespace lacewing

#endif // LACEWING_TARGETID_H
