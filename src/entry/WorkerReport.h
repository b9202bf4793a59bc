#ifndef ENTRY_WORKERREPORT_H
#define ENTRY_WORKERREPORT_H

#include "decision/TargetObservation.h"
#include "entry/AnswerKey.h"
#include "entry/GrantRound.h"
#include "entry/WorkerId.h"
#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"
#include "lacewing/ConfigVersion.h"
#include "metrics/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lacewing {

/** What a worker tells the control thread every 100 ms. */
struct WorkerReport
{
  WorkerId worker;
  /** When the observations were taken. */
  TimePoint taken;
  std::vector<TargetObservation> observations;
  std::size_t openRequests = 0;
  /** The last list of grants that the worker took over. */
  GrantRound grantRound;
  /** The worker refuses new requests. */
  bool stopped = false;
  /** Requests that have begun to arrive; counted once stopped is set. */
  std::size_t unfinishedRequests = 0;
  ByteCount buffered;
  ConfigVersion version;
  /** Callers that closed before their answer, since the start. */
  std::uint64_t callersGone = 0;
  /** Answers since the start. */
  std::map<AnswerKey, std::uint64_t> answers;
  /** Times from arrival to answer, of requests that a target answered. */
  LatencyHistogram latency;
  /** The same without the time of the attempt that was answered. */
  LatencyHistogram addedLatency;
};

} // namespace lacewing

#endif // ENTRY_WORKERREPORT_H
