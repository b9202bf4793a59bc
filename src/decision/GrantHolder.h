#ifndef DECISION_GRANTHOLDER_H
#define DECISION_GRANTHOLDER_H

#include "decision/Grant.h"
#include "decision/GrantReturn.h"
#include "decision/GrantTerms.h"
#include "decision/GrantWant.h"
#include "decision/HeldGrant.h"
#include "lacewing/Clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace lacewing {

/**
 * The asker's account of the grants of one entry host: the counterpart of
 * GrantLedger, used by the control thread of entryd. It keeps the rules that
 * the ledger relies on: only the latest grant of a target counts, its time
 * runs from the sending of the want, and a return covers every earlier grant.
 */
class GrantHolder
{
public:
  GrantHolder(const Clock& aClock, const GrantTerms& aTerms, GrantAsker aAsker);

  /**
   * Slots that the host's workers want together at a target, from their
   * observations. Returns the want to send, if one is due.
   */
  std::optional<GrantWant> OnWanted(const TargetId& aTarget,
                                    Epoch aEpoch,
                                    SlotCount aSlots);
  /** Returns whether the grants held changed. */
  bool OnGrant(const Grant& aGrant);
  /**
   * Stops using a grant before its time is over. Hand HeldBy to the workers
   * before looking for requests in progress.
   */
  void Withdraw(const TargetId& aTarget);
  /** Whether a grant that is used no more was not returned yet. */
  bool AwaitsReturn(const TargetId& aTarget) const;
  /**
   * The workers were seen without a request in progress at the target after
   * its grant was over or withdrawn. Returns what to send, if anything.
   */
  std::optional<GrantReturn> OnIdle(const TargetId& aTarget);

  /**
   * The grants of one of aWorkers workers. A worker's part never shrinks when
   * the whole grows, so that requests of earlier grants stay within the whole.
   */
  std::vector<HeldGrant> HeldBy(std::size_t aWorker,
                                std::size_t aWorkers) const;

private:
  struct Entry
  {
    std::optional<HeldGrant> held;
    /** The latest grant, and the latest one that was returned. */
    GrantId last;
    GrantId returned;
    TimePoint lastWant;
  };

  const Clock& clock_;
  GrantTerms terms_;
  GrantAsker asker_;
  std::map<TargetId, Entry> entries_;
};

} // namespace lacewing

#endif // DECISION_GRANTHOLDER_H
