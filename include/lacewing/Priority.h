#ifndef LACEWING_PRIORITY_H
#define LACEWING_PRIORITY_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Rank of a route's requests; zero is the most urgent. */
using Priority = StrongNumber<struct PriorityTag, std::uint32_t>;

} // namespace lacewing

#endif // LACEWING_PRIORITY_H
