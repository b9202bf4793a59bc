#include "entry/EntryAdminSource.h"

#include "entry/EntryDump.h"
#include "entry/EntryMetrics.h"

namespace lacewing {

std::string EntryAdminSource::NotReady() const
{
  if (state_.Ready()) {
    return {};
  }
  return state_.stopping ? "stopping" : "no configuration";
}

std::string EntryAdminSource::Metrics() const
{
  return MakeEntryMetrics(state_);
}

std::string EntryAdminSource::Dump() const
{
  return MakeEntryDump(settings_, state_);
}

} // namespace lacewing
