#ifndef LACEWING_REQUESTID_H
#define LACEWING_REQUESTID_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Identifies a caller's request within one process. */
using RequestId = StrongNumber<struct RequestIdTag>;

} // namespace lacewing

#endif // LACEWING_REQUESTID_H
