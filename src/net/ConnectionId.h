#ifndef NET_CONNECTIONID_H
#define NET_CONNECTIONID_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Identifies a connection of one MessageServer. */
using ConnectionId = StrongNumber<struct ConnectionIdTag>;

} // namespace lacewing

#endif // NET_CONNECTIONID_H
