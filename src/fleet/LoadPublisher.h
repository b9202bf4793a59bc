#ifndef FLEET_LOADPUBLISHER_H
#define FLEET_LOADPUBLISHER_H

#include "balance/LoadSnapshot.h"
#include "core/SnapshotCell.h"

#include <map>
#include <memory>

namespace lacewing {

/** Collects readings of targets and publishes the newest of each. */
class LoadPublisher
{
public:
  explicit LoadPublisher(SnapshotCell<LoadSnapshot>& aCell);

  /** Keeps the reading if it is newer than the one held. */
  void AddReading(const LoadReading& aReading);

  /** Readings of the target from before aSince tell of an earlier start. */
  void DiscardBefore(const TargetId& aTarget, TimePoint aSince);

  void Remove(const TargetId& aTarget);

  /** Publishes when something changed. */
  void Publish();

private:
  SnapshotCell<LoadSnapshot>& cell_;
  LoadSnapshot current_;
  std::map<TargetId, TimePoint> notBefore_;
  bool changed_ = false;
};

} // namespace lacewing

#endif // FLEET_LOADPUBLISHER_H
