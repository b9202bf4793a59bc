#include "fleet/LoadPublisher.h"

#include <utility>

namespace lacewing {

LoadPublisher::LoadPublisher(SnapshotCell<LoadSnapshot>& aCell)
  : cell_(aCell)
{
}

void LoadPublisher::AddReading(const LoadReading& aReading)
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

void LoadPublisher::DiscardBefore(const TargetId& aTarget, TimePoint aSince)
{
  notBefore_[aTarget] = aSince;
  changed_ |= current_.readings.erase(aTarget) > 0;
}

void LoadPublisher::Remove(const TargetId& aTarget)
{
  notBefore_.erase(aTarget);
  changed_ |= current_.readings.erase(aTarget) > 0;
}

void LoadPublisher::SetSpill(std::shared_ptr<const SpillPlan> aPlan)
{
  current_.spill = std::move(aPlan);
  changed_ = true;
}

void LoadPublisher::Publish()
{
  if (changed_) {
    changed_ = false;
    cell_.Publish(std::make_shared<const LoadSnapshot>(current_));
  }
}

} // namespace lacewing
