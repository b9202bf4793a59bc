#ifndef ENTRY_HELDGRANTS_H
#define ENTRY_HELDGRANTS_H

#include "decision/ClockMargin.h"
#include "decision/HeldGrant.h"
#include "entry/KnownPhases.h"
#include "entry/TargetGrant.h"
#include "entry/WorkerReport.h"
#include "lacewing/HostId.h"
#include "lacewing/Incarnation.h"
#include "wire/GrantEntry.h"
#include "wire/GrantReturnEntry.h"
#include "wire/GrantWantEntry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lacewing {

/**
 * The grants that this host holds. Splits each over the workers such that
 * the slots that any of them may still use never exceed the grant: a slot
 * moves to another worker only after the first has confirmed to be without
 * it. Has no sockets; used from the control thread.
 */
class HeldGrants
{
public:
  HeldGrants(const Clock& aClock,
             HostId aHost,
             Incarnation aIncarnation,
             std::size_t aWorkers);

  void OnReport(const WorkerReport& aReport);
  /** Ignores grants of other askers and those older than the one held. */
  void OnGrant(const GrantEntry& aGrant);
  /** Forgets targets that left the configuration. */
  void Keep(const std::set<TargetId>& aTargets);

  /** Moves slots to the workers that want them; call after each event. */
  void Balance();

  /** The worker's list if it changed since the last call. */
  std::optional<std::vector<HeldGrant>> TakeListFor(WorkerId aWorker);
  /** The round that the worker's last list carries. */
  GrantRound RoundOf(WorkerId aWorker) const;

  /** The wants that are due; call each 100 ms. */
  std::vector<GrantWantEntry> TakeWants(const KnownPhases& aPhases);
  /** Grants that no worker can use any more. */
  std::vector<GrantReturnEntry> TakeReturns();

  bool empty() const { return grants_.empty(); }

  /** Slots that may be used now, for the dump page. */
  std::map<TargetId, SlotCount> HeldSlots() const;

private:
  TargetGrant& GrantOf(const TargetId& aTarget);
  bool Ends(const TargetGrant& aGrant) const;
  void Balance(TargetGrant& aGrant);
  void Assign(TargetGrant& aGrant, std::size_t aWorker, SlotCount aSlots);
  std::vector<SlotCount> DesiredSplit(const TargetGrant& aGrant) const;

  const Clock& clock_;
  HostId host_;
  Incarnation incarnation_;
  ClockMargin margin_;
  std::map<TargetId, TargetGrant> grants_;
  /** Requests in flight as last reported, by worker. */
  std::vector<std::map<TargetId, SlotCount>> inFlight_;
  std::vector<GrantRound> rounds_;
  std::vector<bool> changed_;
};

} // namespace lacewing

#endif // ENTRY_HELDGRANTS_H
