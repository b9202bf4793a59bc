#ifndef CONTROL_PHASEMANAGER_H
#define CONTROL_PHASEMANAGER_H

#include "control/PeerLinks.h"
#include "control/TargetIndex.h"
#include "decision/PhaseTable.h"
#include "wire/TargetReportMessage.h"
#include "wire/TargetStateMessage.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace lacewing {

/**
 * Keeps the phases of all targets and sends each change to peers and entryd
 * at once. Advances the targets of the shards whose lease is held here.
 */
class PhaseManager
{
public:
  using LeaseCheck = std::function<bool(ShardId)>;

  PhaseManager(const Clock& aClock,
               const TargetIndex& aIndex,
               PeerLinks& aLinks,
               LeaseCheck aHolds);

  /** The index changed. */
  void OnConfig();
  /** A peer or an entryd said hello; it gets every phase that is known. */
  void OnReady(LinkId aLink);
  void OnReport(const TargetReportMessage& aReport);
  /** aForward tells whether other controlds may not have heard of it. */
  void OnState(LinkId aFrom, const TargetStateMessage& aMessage, bool aForward);
  /** Call each 100 ms. */
  void OnTimer();

  const PhaseTable& Phases() const { return phases_; }

private:
  void Note(const PhaseRecord& aRecord);
  /** Keeps a record until the configuration names its target. */
  void KeepEarly(const PhaseRecord& aRecord);
  void OnGoodAnswer(const TargetReportEntry& aEntry);
  static TargetStateMessage Message(const std::vector<PhaseRecord>& aRecords);
  void Tell(const std::vector<PhaseRecord>& aRecords);

  const TargetIndex& index_;
  PeerLinks& links_;
  LeaseCheck holds_;
  PhaseTable phases_;
  std::set<TargetId> known_;
  /**
   * Phases of targets that the configuration in force does not name yet. A
   * controld that starts hears phases before it has a configuration; without
   * them every warm target would have to warm up again.
   */
  std::map<TargetId, PhaseRecord> early_;
  /**
   * Targets whose cold time or ramp runs. Only these can advance; with 15,000
   * targets, looking at all that are not warm took 5 % of a core.
   */
  std::set<TargetId> moving_;
};

} // namespace lacewing

#endif // CONTROL_PHASEMANAGER_H
