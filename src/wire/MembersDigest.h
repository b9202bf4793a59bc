#ifndef WIRE_MEMBERSDIGEST_H
#define WIRE_MEMBERSDIGEST_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Hash over all members that a host knows; equal when the views are. */
using MembersDigest = StrongNumber<struct MembersDigestTag>;

} // namespace lacewing

#endif // WIRE_MEMBERSDIGEST_H
