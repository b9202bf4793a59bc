#ifndef BALANCE_FLEETTARGET_H
#define BALANCE_FLEETTARGET_H

#include "catalog/TargetSpec.h"

namespace lacewing {

/** A target that may get requests, as this host may use it. */
struct FleetTarget
{
  TargetSpec spec;
  /** In this host's availability zone. */
  bool local = false;
  /**
   * Requests a second that this host may send while the target is cold; zero
   * on hosts that do not own it.
   */
  unsigned coldQuota = 0;
};

} // namespace lacewing

#endif // BALANCE_FLEETTARGET_H
