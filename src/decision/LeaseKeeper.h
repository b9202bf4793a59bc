#ifndef DECISION_LEASEKEEPER_H
#define DECISION_LEASEKEEPER_H

#include "decision/LeaseAction.h"
#include "decision/LeaseRecord.h"
#include "decision/LeaseTerms.h"
#include "lacewing/Clock.h"
#include "lacewing/HostId.h"
#include "lacewing/Incarnation.h"
#include "lacewing/ObjectTag.h"

#include <optional>

namespace lacewing {

/**
 * One host's part in the lease on one shard: acquires, renews, loses and
 * takes over the lease object by conditional writes. At most one store call
 * is in progress; each action is answered by exactly one event OnRead,
 * OnReadFailed, OnWritten, OnConflict, OnWriteFailed or OnWriteUnknown.
 * Every event returns the next action.
 */
class LeaseKeeper
{
public:
  LeaseKeeper(const Clock& aClock,
              const LeaseTerms& aTerms,
              HostId aHost,
              Incarnation aIncarnation);

  /**
   * Own place among the shard's candidates, 0 for the first; empty for a
   * host that is none. A holder keeps its lease when its rank changes.
   */
  LeaseAction OnRank(std::optional<unsigned> aRank);
  /** The object's content and tag; no value when no object exists. */
  LeaseAction OnRead(const std::optional<LeaseRecord>& aRecord,
                     const ObjectTag& aTag);
  LeaseAction OnReadFailed();
  /** The write was accepted; aTag is the object's new tag. */
  LeaseAction OnWritten(const ObjectTag& aTag);
  /** The write's condition was not met. */
  LeaseAction OnConflict();
  /** The write had no effect (kUnavailable, kRateLimited). */
  LeaseAction OnWriteFailed();
  /** The write may or may not have had an effect, or have one later. */
  LeaseAction OnWriteUnknown();
  LeaseAction OnTimer();
  /** Gives the lease up for good, for a planned stop. */
  LeaseAction OnStopping();

  /** When OnTimer is due; empty while a store call is in progress. */
  std::optional<TimePoint> NextTimer() const;

  /**
   * Whether the lease is held at this moment by the own clock, with the
   * margin; check it right before each act that needs the lease.
   */
  bool Holds() const;
  /** Epoch of the lease held or last held; changes with each take-over. */
  Epoch HeldEpoch() const { return held_.epoch; }
  /** Whether OnStopping has done its work. */
  bool Released() const { return stopping_ && !owned_ && !call_; }

private:
  enum class Call
  {
    kRead,
    kWrite,
  };

  /** Whether there is nothing to do until OnRank or OnStopping. */
  bool Idle() const;
  LeaseAction Next();
  LeaseAction Read();
  LeaseAction Write(const LeaseRecord& aRecord);
  void Pause(Duration aTime);
  /** The pending write is in force. */
  void Accept(const ObjectTag& aTag);
  /** When a candidate may take the lease; needs seen_ and rank_. */
  TimePoint TakeOverTime() const;
  static ObjectTag TagOf(const LeaseWrite& aWrite);

  const Clock& clock_;
  LeaseTerms terms_;
  HostId host_;
  Incarnation incarnation_;
  std::optional<unsigned> rank_;
  std::uint64_t writes_ = 0;
  bool stopping_ = false;
  std::optional<Call> call_;
  TimePoint timer_;

  TimePoint lastRead_;
  /** Whether the object was read or written; then its last state. */
  bool seen_ = false;
  std::optional<LeaseRecord> record_;
  ObjectTag tag_;
  /** Since when the tag has been the same on the own clock. */
  TimePoint tagSince_;

  /** The write in progress or of unknown effect. */
  std::optional<LeaseWrite> pending_;
  /** A sending of the pending write may have taken effect. */
  bool unsettled_ = false;
  /** Start of the pending write's first sending. */
  TimePoint pendingSince_;

  /** The last write that was in force, and whether it still may be. */
  LeaseRecord held_;
  bool owned_ = false;
  /** The lease is held before this moment. */
  TimePoint heldUntil_;
};

} // namespace lacewing

#endif // DECISION_LEASEKEEPER_H
