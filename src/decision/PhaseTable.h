#ifndef DECISION_PHASETABLE_H
#define DECISION_PHASETABLE_H

#include "decision/PhaseRecord.h"
#include "decision/WarmUp.h"
#include "lacewing/Clock.h"
#include "lacewing/InstanceId.h"
#include "lacewing/SlotCount.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing {

/**
 * Phase of each target in one controld. Every host merges what it hears and
 * starts a new epoch on a sign of coldness; only the lease holder of the
 * target's shard advances phases. Whatever a call returns as changed has to
 * be sent to all peers and to the entryd at once.
 */
class PhaseTable
{
public:
  explicit PhaseTable(const Clock& aClock);

  /** Adds a target as cold in epoch zero or changes its warm-up settings. */
  void SetTarget(const TargetId& aTarget, const WarmUp& aWarmUp);
  void RemoveTarget(const TargetId& aTarget);

  /** The record of a target; cold in epoch zero when it is unknown. */
  PhaseRecord Get(const TargetId& aTarget) const;
  /** Every record, for a peer that connects. */
  std::vector<PhaseRecord> All() const;

  /**
   * Takes a record of a peer: the higher epoch wins, and within an epoch the
   * later phase. Returns whether the own record changed. Records of targets
   * that are not in the configuration are ignored.
   */
  bool Merge(const PhaseRecord& aRecord);

  /**
   * A sign of coldness, with the instance that showed it or an empty one.
   * Starts the next epoch as cold unless the target is cold already or the
   * instance is the one that the current epoch belongs to. Returns the new
   * record when there is one.
   */
  std::optional<PhaseRecord> OnColdSign(const TargetId& aTarget,
                                        const InstanceId& aInstance);

  /**
   * A good answer that was run by aInstance. The first one of an epoch
   * starts the target's cold time.
   */
  void OnGoodAnswer(const TargetId& aTarget, const InstanceId& aInstance);

  /**
   * For the lease holder: moves the target on when its time has come, and
   * returns the new record then. Call at least each 100 ms.
   */
  std::optional<PhaseRecord> Advance(const TargetId& aTarget);

  /**
   * Requests that the target bears now: the cold limit while it is cold, a
   * linear ramp while it is ramping, all slots while it is warm.
   */
  SlotCount Limit(const TargetId& aTarget) const;

private:
  struct Entry
  {
    PhaseRecord record;
    WarmUp warmUp;
    /** The instance that the epoch belongs to; empty until it answers. */
    InstanceId instance;
    /** Start of the current phase on the own clock; empty until known. */
    std::optional<TimePoint> since;
  };

  void StartEpoch(Entry& aEntry, Epoch aEpoch);

  const Clock& clock_;
  std::map<TargetId, Entry> entries_;
};

} // namespace lacewing

#endif // DECISION_PHASETABLE_H
