#ifndef ENTRY_WORKEROPTIONS_H
#define ENTRY_WORKEROPTIONS_H

#include "entry/ForwarderOptions.h"
#include "lacewing/Endpoint.h"

namespace lacewing {

/** Settings of a TrafficWorker. */
struct WorkerOptions
{
  /** Port 0 lets the kernel choose one. */
  Endpoint callers;
  ForwarderOptions forwarder;
};

} // namespace lacewing

#endif // ENTRY_WORKEROPTIONS_H
