#ifndef LACEWING_BYTECOUNT_H
#define LACEWING_BYTECOUNT_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** A number of bytes. */
using ByteCount = StrongNumber<struct ByteCountTag>;

} // namespace lacewing

#endif // LACEWING_BYTECOUNT_H
