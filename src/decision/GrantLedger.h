#ifndef DECISION_GRANTLEDGER_H
#define DECISION_GRANTLEDGER_H

#include "decision/Grant.h"
#include "decision/GrantReturn.h"
#include "decision/GrantTerms.h"
#include "decision/GrantWant.h"
#include "lacewing/Clock.h"

#include <functional>
#include <map>
#include <vector>

namespace lacewing {

class LeaseKeeper;
class PhaseTable;

/**
 * The lease holder's account of the grants of one shard's targets. At every
 * moment the slots of all grants that may still be in use at a target stay
 * within its limit. Make one for each take-over of the lease; it gives
 * nothing until the grants of earlier holders can no longer be in use.
 */
class GrantLedger
{
public:
  /**
   * Whether the lease is held at this moment; asked right before each grant,
   * normally LeaseKeeper::Holds.
   */
  using LeaseCheck = std::function<bool()>;

  /**
   * aLease is the epoch of the lease that was taken over; grants of later
   * leases get higher ids.
   */
  GrantLedger(const Clock& aClock,
              const PhaseTable& aPhases,
              const GrantTerms& aTerms,
              Epoch aLease,
              LeaseCheck aLeaseCheck);

  /** Notes a want; the latest want of an asker for a target counts. */
  void OnWant(const GrantWant& aWant);
  void OnReturn(const GrantReturn& aReturn);
  void RemoveTarget(const TargetId& aTarget);
  /**
   * Requests may have longer deadlines from now on, also those that are sent
   * under grants given before. A shorter deadline changes nothing.
   */
  void RaiseLongestDeadline(Duration aDeadline);

  /**
   * The grants that can be given now, slot by slot to the asker that has
   * waited longest. Call after OnWant and OnReturn and each 20 ms.
   */
  std::vector<Grant> Give();

  /** Slots of the target's grants that may still be in use. */
  SlotCount Outstanding(const TargetId& aTarget) const;
  /** End of the grace time after the take-over. */
  TimePoint GraceEnd() const { return graceEnd_; }

private:
  struct Given
  {
    GrantId id;
    SlotCount slots;
    /** When no request sent under the grant can be in progress. */
    TimePoint end;
  };
  struct AskerState
  {
    GrantWant want;
    TimePoint wantUntil;
    /** Wants are served in the order of their last service. */
    TimePoint lastServed;
    std::vector<Given> given;
  };
  using Askers = std::map<GrantAsker, AskerState>;

  static SlotCount Used(const AskerState& aAsker);
  static SlotCount Used(const Askers& aAskers);
  void DropOld(Askers& aAskers, TimePoint aNow) const;
  void GiveTarget(const TargetId& aTarget,
                  Askers& aAskers,
                  std::vector<Grant>& aGrants);

  const Clock& clock_;
  const PhaseTable& phases_;
  GrantTerms terms_;
  LeaseCheck leaseCheck_;
  TimePoint graceEnd_;
  std::uint64_t lastId_;
  std::map<TargetId, Askers> targets_;
};

} // namespace lacewing

#endif // DECISION_GRANTLEDGER_H
