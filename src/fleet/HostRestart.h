#ifndef FLEET_HOSTRESTART_H
#define FLEET_HOSTRESTART_H

#include "lacewing/HostId.h"

namespace lacewing {

/** A later run of another host's process began. */
struct HostRestart
{
  HostId host;
  /** The earlier run had announced that it stops. */
  bool announced = false;
};

} // namespace lacewing

#endif // FLEET_HOSTRESTART_H
