#ifndef LACEWING_ROUTENAME_H
#define LACEWING_ROUTENAME_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Names a route of the configuration. */
using RouteName = StrongString<struct RouteNameTag>;

} // namespace lacewing

#endif // LACEWING_ROUTENAME_H
