#ifndef BALANCE_FLEETTARGET_H
#define BALANCE_FLEETTARGET_H

#include "catalog/TargetSpec.h"

namespace lacewing {

/** A target that accepts requests, and how this host may use it. */
struct FleetTarget
{
  TargetSpec spec;
  /** Whether the target is in this host's availability zone. */
  bool local = false;
  /**
   * Requests per second that this host may send while the target is cold; zero
   * on hosts that do not own the target.
   */
  unsigned coldQuota = 0;
};

} // namespace lacewing

#endif // BALANCE_FLEETTARGET_H
