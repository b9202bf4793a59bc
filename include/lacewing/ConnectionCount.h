#ifndef LACEWING_CONNECTIONCOUNT_H
#define LACEWING_CONNECTIONCOUNT_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** A number of connections to one target. */
using ConnectionCount = StrongNumber<struct ConnectionCountTag, std::uint32_t>;

} // namespace lacewing

#endif // LACEWING_CONNECTIONCOUNT_H
