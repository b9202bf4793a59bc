#ifndef LACEWING_WRITECOUNT_H
#define LACEWING_WRITECOUNT_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Counts the states of an object that its writer has published. */
using WriteCount = StrongNumber<struct WriteCountTag>;

} // namespace lacewing

#endif // LACEWING_WRITECOUNT_H
