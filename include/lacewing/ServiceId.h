#ifndef LACEWING_SERVICEID_H
#define LACEWING_SERVICEID_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Names a service, for example "member-ledger". */
using ServiceId = StrongString<struct ServiceIdTag>;

} // namespace lacewing

#endif // LACEWING_SERVICEID_H
