#ifndef LACEWING_SLOTCOUNT_H
#define LACEWING_SLOTCOUNT_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** A number of requests that a target runs at the same time. */
using SlotCount = StrongNumber<struct SlotCountTag, std::uint32_t>;

} // namespace lacewing

#endif // LACEWING_SLOTCOUNT_H
