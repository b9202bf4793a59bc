#ifndef LACEWING_INCARNATION_H
#define LACEWING_INCARNATION_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Distinguishes successive runs of a process on one host. */
using Incarnation = StrongNumber<struct IncarnationTag>;

} // namespace lacewing

#endif // LACEWING_INCARNATION_H
