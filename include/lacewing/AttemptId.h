#ifndef LACEWING_ATTEMPTID_H
#define LACEWING_ATTEMPTID_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Identifies one sending of a request to a target within one process. */
using AttemptId = StrongNumber<struct AttemptIdTag>;

} // namespace lacewing

#endif // LACEWING_ATTEMPTID_H
