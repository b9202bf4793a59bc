#ifndef ENTRY_FORWARDEROPTIONS_H
#define ENTRY_FORWARDEROPTIONS_H

#include "decision/EngineOptions.h"
#include "entry/EntryLimits.h"
#include "entry/WorkerId.h"

#include <string>

namespace lacewing {

/** Settings of a RequestForwarder. */
struct ForwarderOptions
{
  WorkerId worker;
  /** Starts every Lacewing-Request-Id; unique to this process and worker. */
  std::string requestIdPrefix;
  /** maxBuffered is this worker's share. */
  EntryLimits limits;
  EngineOptions engine;
};

} // namespace lacewing

#endif // ENTRY_FORWARDEROPTIONS_H
