#ifndef ENTRY_GRANTROUND_H
#define ENTRY_GRANTROUND_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Numbers the grant lists that a worker gets, so that it can confirm them. */
using GrantRound = StrongNumber<struct GrantRoundTag>;

} // namespace lacewing

#endif // ENTRY_GRANTROUND_H
