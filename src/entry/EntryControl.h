#ifndef ENTRY_ENTRYCONTROL_H
#define ENTRY_ENTRYCONTROL_H

#include "core/OneShotTimer.h"
#include "entry/ConfigReceiver.h"
#include "entry/ControldEvents.h"
#include "entry/ControldLink.h"
#include "entry/EntrySettings.h"
#include "entry/EntryState.h"
#include "entry/HeldGrants.h"
#include "entry/KnownPhases.h"
#include "entry/ReportCollector.h"
#include "entry/SnapshotBuilder.h"
#include "entry/TrafficWorker.h"

#include <memory>
#include <vector>

namespace lacewing {

/**
 * Owns entryd's control state: configuration, phases and grants. Used from
 * the control thread only; reaches the workers by messages.
 */
class EntryControl final : public ControldEvents
{
public:
  using Workers = std::vector<std::unique_ptr<TrafficWorker>>;

  EntryControl(asio::io_context& aContext,
               const Clock& aClock,
               const EntrySettings& aSettings,
               Incarnation aIncarnation,
               const Workers& aWorkers);

  void OnReport(WorkerReport aReport);

  /** Turns /ready off and asks callers to leave their connections. */
  void Drain();
  /** Stops listening; requests in progress go on. */
  void Stop();
  /** Whether every worker has answered its last request. */
  bool Idle() const;
  /** Whether no grant is held any more. */
  bool GrantsReturned() const { return grants_.empty(); }
  /** The longest deadline of any service. */
  std::chrono::milliseconds LongestDeadline() const;

  const EntryState& State() const { return state_; }

  void OnConnected() override;
  void OnDisconnected() override;
  void OnConfig(const ConfigMessage& aPart) override;
  void OnTargetState(const TargetStateMessage& aMessage) override;
  void OnGrant(const GrantMessage& aMessage) override;

private:
  void Publish(const Configuration& aConfiguration);
  /**
   * Ends the local cold phase of targets when there is no controld that could
   * give grants for them.
   */
  void ResolveColdSigns(const WorkerReport& aReport);
  /**
   * Tells controld the phases known here, which survive when every controld
   * of the deployment starts anew.
   */
  void SendPhases();
  void PostGrants();
  void SendReports();
  void ScheduleTick();
  void Tick();

  const Workers& workers_;
  SnapshotBuilder builder_;
  KnownPhases phases_;
  ConfigReceiver configs_;
  ReportCollector reports_;
  HeldGrants grants_;
  EntryState state_;
  OneShotTimer tick_;
  /** Ticks until the configuration is asked for again; zero for never. */
  unsigned ticksToWant_ = 0;
  /** Null with a controld. */
  std::shared_ptr<const Configuration> fixed_;
  /** Empty without a controld. */
  std::unique_ptr<ControldLink> link_;
};

} // namespace lacewing

#endif // ENTRY_ENTRYCONTROL_H
