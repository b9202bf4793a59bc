#ifndef FLEET_LOADPUBLISHER_H
#define FLEET_LOADPUBLISHER_H

#include "balance/LoadSnapshot.h"
#include "core/SnapshotCell.h"

#include <map>
#include <memory>

namespace lacewing {

/**
 * Collects load readings of targets and publishes the newest of each target.
 */
class LoadPublisher
{
public:
  explicit LoadPublisher(SnapshotCell<LoadSnapshot>& aCell);

  /** Keeps the reading if it is newer than the one stored for its target. */
  void AddReading(const LoadReading& aReading);

  /**
   * Removes the reading of aTarget and ignores further ones that were measured
   * before aSince, because they belong to an earlier start of the target.
   */
  void DiscardBefore(const TargetId& aTarget, TimePoint aSince);

  void Remove(const TargetId& aTarget);

  /** Sets what to publish with the readings. */
  void SetSpill(std::shared_ptr<const SpillPlan> aPlan);

  /** Publishes a new snapshot if a reading has changed since the last one. */
  void Publish();

private:
  SnapshotCell<LoadSnapshot>& cell_;
  LoadSnapshot current_;
  std::map<TargetId, TimePoint> notBefore_;
  bool changed_ = false;
};

} // namespace lacewing

#endif // FLEET_LOADPUBLISHER_H
