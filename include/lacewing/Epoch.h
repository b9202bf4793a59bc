#ifndef LACEWING_EPOCH_H
#define LACEWING_EPOCH_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Orders successive states of one target or lease. */
using Epoch = StrongNumber<struct EpochTag>;

} // namespace lacewing

#endif // LACEWING_EPOCH_H
