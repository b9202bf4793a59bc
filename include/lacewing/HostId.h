#ifndef LACEWING_HOSTID_H
#define LACEWING_HOSTID_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Names an entry host. */
using HostId = StrongString<struct HostIdTag>;

} // namespace lacewing

#endif // LACEWING_HOSTID_H
