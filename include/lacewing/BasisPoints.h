#ifndef LACEWING_BASISPOINTS_H
#define LACEWING_BASISPOINTS_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** A share in hundredths of one per cent. */
using BasisPoints = StrongNumber<struct BasisPointsTag, std::uint32_t>;

} // namespace lacewing

#endif // LACEWING_BASISPOINTS_H
