#ifndef QUOTA_ALLOWANCESEQUENCE_H
#define QUOTA_ALLOWANCESEQUENCE_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/**
 * Numbers a host's requests for tokens; it also grows over restarts of the
 * host.
 */
using AllowanceSequence = StrongNumber<struct AllowanceSequenceTag>;

} // namespace lacewing

#endif // QUOTA_ALLOWANCESEQUENCE_H
