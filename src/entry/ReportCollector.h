#ifndef ENTRY_REPORTCOLLECTOR_H
#define ENTRY_REPORTCOLLECTOR_H

#include "entry/KnownPhases.h"
#include "entry/WorkerReport.h"
#include "wire/TargetReportMessage.h"

#include <map>
#include <vector>

namespace lacewing {

/** Adds up the workers' observations to one report of this host. */
class ReportCollector
{
public:
  explicit ReportCollector(std::size_t aWorkers)
    : inFlight_(aWorkers)
  {
  }

  void Add(const WorkerReport& aReport);

  /** Whether a sign of coldness waits, which should not wait for long. */
  bool Urgent() const { return urgent_; }
  bool empty() const { return entries_.empty(); }

  /** What changed since the last call. */
  TargetReportMessage Take(const KnownPhases& aPhases);

private:
  std::map<TargetId, TargetReportEntry> entries_;
  /** The last known number by worker. */
  std::vector<std::map<TargetId, SlotCount>> inFlight_;
  bool urgent_ = false;
};

} // namespace lacewing

#endif // ENTRY_REPORTCOLLECTOR_H
