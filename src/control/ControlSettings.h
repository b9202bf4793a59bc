#ifndef CONTROL_CONTROLSETTINGS_H
#define CONTROL_CONTROLSETTINGS_H

#include "lacewing/Endpoint.h"
#include "lacewing/HostId.h"
#include "lacewing/ZoneId.h"

#include <string>

namespace lacewing {

/** Settings of lacewing-controld. */
struct ControlSettings
{
  /** Peers of another deployment are refused. */
  std::string deployment = "default";
  HostId host;
  ZoneId zone;
  /**
   * Where peers and the entryd of this host connect. All controlds of a
   * deployment use the same port, because the host list has no ports.
   */
  Endpoint messages;
  Endpoint admin;
  /** The platform's store and host list. */
  Endpoint platform;
  std::string logLevel = "info";
};

} // namespace lacewing

#endif // CONTROL_CONTROLSETTINGS_H
