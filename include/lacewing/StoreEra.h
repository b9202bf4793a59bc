#ifndef LACEWING_STOREERA_H
#define LACEWING_STOREERA_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/**
 * Counts how often the store has come back from a copy. Zero stands for an
 * unknown era, which every other one replaces.
 */
using StoreEra = StrongNumber<struct StoreEraTag>;

} // namespace lacewing

#endif // LACEWING_STOREERA_H
