#include "entry/ReportCollector.h"

#include <utility>

namespace lacewing {

namespace {

/** The mean of two averages, weighted by their numbers of answers. */
Duration Mean(Duration aLeft,
              std::uint32_t aLeftCount,
              Duration aRight,
              std::uint32_t aRightCount)
{
  if (aLeft == Duration(0) || aLeftCount == 0) {
    return aRight == Duration(0) ? aLeft : aRight;
  }
  if (aRight == Duration(0) || aRightCount == 0) {
    return aLeft;
  }
  return (aLeft * aLeftCount + aRight * aRightCount) /
         (std::int64_t{ aLeftCount } + aRightCount);
}

} // namespace

void ReportCollector::Add(const WorkerReport& aReport)
{
  auto& inFlight = inFlight_.at(aReport.worker.value());
  for (const TargetObservation& seen : aReport.observations) {
    inFlight[seen.target] = seen.inFlight;
    TargetReportEntry& entry = entries_[seen.target];
    entry.target = seen.target;
    if (!seen.instance.empty()) {
      entry.instance = seen.instance;
    }
    entry.latency =
      Mean(entry.latency, entry.answered, seen.latency, seen.answered);
    entry.answered += seen.answered;
    entry.failed += seen.failed;
    entry.wanted += seen.wanted;
    entry.looksCold = entry.looksCold || seen.looksCold;
    entry.draining = entry.draining || seen.draining;
    urgent_ = urgent_ || seen.looksCold;
  }
}

TargetReportMessage ReportCollector::Take(const KnownPhases& aPhases)
{
  TargetReportMessage message;
  for (auto& [target, entry] : entries_) {
    entry.epoch = aPhases.Find(target).epoch;
    for (const auto& inFlight : inFlight_) {
      const auto found = inFlight.find(target);
      entry.inFlight += found == inFlight.end() ? SlotCount(0) : found->second;
    }
    message.targets.push_back(std::move(entry));
  }
  entries_.clear();
  urgent_ = false;
  return message;
}

} // namespace lacewing
