#ifndef STANDIN_RUNRECORD_H
#define STANDIN_RUNRECORD_H

#include "lacewing/Clock.h"
#include "lacewing/TargetId.h"
#include "standin/RunEnd.h"

#include <string>

namespace lacewing {

/** One run of a request by a target. */
struct RunRecord
{
  TargetId target;
  /** The text of Lacewing-Request-Id; empty without that field. */
  std::string requestId;
  /** Since the start of the process. */
  Duration started;
  std::string method;
  /** Path and query. */
  std::string path;
  RunEnd end = RunEnd::kRunning;
};

} // namespace lacewing

#endif // STANDIN_RUNRECORD_H
