#ifndef FLEET_PROBETARGET_H
#define FLEET_PROBETARGET_H

#include "catalog/TargetSpec.h"

#include <string>

namespace lacewing {

/** A target that this host probes. */
struct ProbeTarget
{
  TargetSpec spec;
  std::string healthPath;
};

} // namespace lacewing

#endif // FLEET_PROBETARGET_H
