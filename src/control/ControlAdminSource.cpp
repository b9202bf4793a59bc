#include "control/ControlAdminSource.h"

#include "control/ControlDump.h"
#include "control/ControlMetrics.h"
#include "control/ControlState.h"

namespace lacewing {

std::string ControlAdminSource::NotReady() const
{
  if (state_.stopping) {
    return "stopping";
  }
  return state_.configs.InForce() != nullptr ? "" : "no configuration";
}

std::string ControlAdminSource::Metrics() const
{
  return MakeControlMetrics(state_);
}

std::string ControlAdminSource::Dump() const
{
  return MakeControlDump(clock_, state_);
}

} // namespace lacewing
