#ifndef CONTROL_LINKID_H
#define CONTROL_LINKID_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Identifies a connection with a peer, whichever side opened it. */
using LinkId = StrongNumber<struct LinkIdTag>;

} // namespace lacewing

#endif // CONTROL_LINKID_H
