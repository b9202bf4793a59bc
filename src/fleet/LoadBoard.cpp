#include "fleet/LoadBoard.h"

namespace lacewing {

LoadBoard::LoadBoard(SnapshotCell<LoadSnapshot>& aCell)
  : cell_(aCell)
{
}

void LoadBoard::Offer(const LoadReading& aReading)
{
  const auto since = notBefore_.find(aReading.target);
  if (since != notBefore_.end() && aReading.measuredAt < since->second) {
    return;
  }
  LoadReading& held = current_.readings[aReading.target];
  if (held.measuredAt < aReading.measuredAt) {
    held = aReading;
    changed_ = true;
  }
}

void LoadBoard::Invalidate(const TargetId& aTarget, TimePoint aSince)
{
  notBefore_[aTarget] = aSince;
  changed_ |= current_.readings.erase(aTarget) > 0;
}

void LoadBoard::Remove(const TargetId& aTarget)
{
  notBefore_.erase(aTarget);
  changed_ |= current_.readings.erase(aTarget) > 0;
}

void LoadBoard::Publish()
{
  if (changed_) {
    changed_ = false;
    cell_.Publish(std::make_shared<const LoadSnapshot>(current_));
  }
}

} // namespace lacewing
