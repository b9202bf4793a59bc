#ifndef ENTRY_ENTRYCONTROL_H
#define ENTRY_ENTRYCONTROL_H

#include "config/Configuration.h"
#include "entry/EntrySettings.h"
#include "entry/EntryState.h"
#include "entry/KnownPhases.h"
#include "entry/SnapshotBuilder.h"
#include "entry/TrafficWorker.h"

#include <memory>
#include <vector>

namespace lacewing {

/**
 * Owns entryd's control state: configuration, phases and grants. Used from
 * the control thread only; reaches the workers by messages.
 */
class EntryControl
{
public:
  using Workers = std::vector<std::unique_ptr<TrafficWorker>>;

  EntryControl(const EntrySettings& aSettings, const Workers& aWorkers);

  void OnReport(WorkerReport aReport);

  /** Turns /ready off and asks callers to leave their connections. */
  void Drain();
  /** Stops listening; requests in progress go on. */
  void Stop();
  /** Whether every worker has answered its last request. */
  bool Idle() const;
  /** The longest deadline of any service. */
  std::chrono::milliseconds LongestDeadline() const;

  const EntryState& State() const { return state_; }

private:
  void Publish();

  const Workers& workers_;
  SnapshotBuilder builder_;
  KnownPhases phases_;
  std::shared_ptr<const Configuration> configuration_;
  EntryState state_;
};

} // namespace lacewing

#endif // ENTRY_ENTRYCONTROL_H
