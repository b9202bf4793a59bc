#include "entry/EntryControl.h"

#include <algorithm>
#include <utility>

namespace lacewing {

EntryControl::EntryControl(const EntrySettings& aSettings,
                           const Workers& aWorkers)
  : workers_(aWorkers)
  , builder_(aSettings.zone, aSettings.workers)
  , phases_(aSettings.fixed ? TargetPhase::kWarm : TargetPhase::kCold)
  , configuration_(aSettings.fixed)
{
  state_.reports.resize(aWorkers.size());
  if (configuration_) {
    Publish();
  }
}

void EntryControl::OnReport(WorkerReport aReport)
{
  state_.reports.at(aReport.worker.value()) = std::move(aReport);
}

void EntryControl::Drain()
{
  state_.stopping = true;
  for (const auto& worker : workers_) {
    worker->PostDrain();
  }
}

void EntryControl::Stop()
{
  for (const auto& worker : workers_) {
    worker->PostStop();
  }
}

bool EntryControl::Idle() const
{
  return std::all_of(state_.reports.begin(),
                     state_.reports.end(),
                     [](const WorkerReport& aReport) {
                       return aReport.stopped && aReport.openRequests == 0 &&
                              aReport.buffered == ByteCount(0);
                     });
}

std::chrono::milliseconds EntryControl::LongestDeadline() const
{
  std::chrono::milliseconds longest(0);
  if (state_.snapshot) {
    for (const auto& [id, route] : state_.snapshot->services) {
      longest = std::max(longest, route->deadline);
    }
  }
  return longest;
}

void EntryControl::Publish()
{
  state_.snapshot = builder_.Build(*configuration_, phases_);
  for (const auto& worker : workers_) {
    worker->PostSnapshot(state_.snapshot);
  }
}

} // namespace lacewing
