#ifndef DECISION_MEASURINGBUDGET_H
#define DECISION_MEASURINGBUDGET_H

#include "lacewing/BasisPoints.h"
#include "lacewing/Clock.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"

#include <map>

namespace lacewing {

/**
 * Allows active probes of each target only within the agreed share of its
 * slot time. A probe reserves its longest time first, so that the share is
 * kept at every moment since the target was added.
 */
class MeasuringBudget
{
public:
  explicit MeasuringBudget(const Clock& aClock);

  void SetTarget(const TargetId& aTarget, SlotCount aSlots, BasisPoints aShare);
  void RemoveTarget(const TargetId& aTarget);

  /**
   * Whether a probe may start now; if so, aLongest (its timeout) is taken
   * from the budget. One probe per target is in progress at a time.
   */
  bool StartProbe(const TargetId& aTarget, Duration aLongest);
  /**
   * Ends the probe and gives back what it did not use. A probe without an
   * answer counts with its timeout.
   */
  void EndProbe(const TargetId& aTarget, bool aAnswered);

private:
  struct Account
  {
    SlotCount slots;
    BasisPoints share;
    /** Slot time that probes may take; never negative. */
    Duration credit{ 0 };
    TimePoint counted;
    bool probing = false;
    TimePoint started;
    Duration reserved{ 0 };
  };

  void Earn(Account& aAccount) const;

  const Clock& clock_;
  std::map<TargetId, Account> accounts_;
};

} // namespace lacewing

#endif // DECISION_MEASURINGBUDGET_H
