#ifndef CTL_CTLOPTIONS_H
#define CTL_CTLOPTIONS_H

#include "config/RemovalGuard.h"
#include "lacewing/BasisPoints.h"

#include <chrono>
#include <cstdint>

namespace lacewing {

/** Settings of one run of lacewingctl. */
struct CtlOptions
{
  /** Time for the whole command, waiting for the hosts included. */
  std::chrono::milliseconds timeout{ 30000 };
  bool allowRemoval = false;
  /** Share of a service's targets that a sheet may take away. */
  BasisPoints maxRemoval = kDefaultMaxRemoval;
  /** Admin port of control daemons whose listed address has none. */
  std::uint16_t controlAdminPort = 7071;
};

} // namespace lacewing

#endif // CTL_CTLOPTIONS_H
