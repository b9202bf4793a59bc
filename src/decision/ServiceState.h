#ifndef DECISION_SERVICESTATE_H
#define DECISION_SERVICESTATE_H

#include "decision/ServiceRoute.h"
#include "decision/TargetView.h"
#include "decision/WaitQueue.h"

#include <map>
#include <memory>
#include <vector>

namespace lacewing {

/** One worker's state of one service: its targets and waiting requests. */
class ServiceState
{
public:
  using Grants = std::map<TargetId, HeldGrant>;

  /** Null when the service left the configuration. */
  const ServiceRoute* Route() const { return route_.get(); }
  const std::vector<std::shared_ptr<TargetView>>& Targets() const
  {
    return targets_;
  }
  WaitQueue& Waiting() { return waiting_; }

  /** Keeps the views of targets that stay. */
  void Update(std::shared_ptr<const ServiceRoute> aRoute,
              const Grants& aGrants);
  void SetGrants(const Grants& aGrants);

  /** The target for the next request; null when none has a free slot. */
  std::shared_ptr<TargetView> Pick(TimePoint aNow) const;
  /** Tells targets that need grants how many requests wait for one. */
  void ReportWanted();

private:
  SlotCount OwnLimit() const;

  std::shared_ptr<const ServiceRoute> route_;
  std::vector<std::shared_ptr<TargetView>> targets_;
  WaitQueue waiting_;
};

} // namespace lacewing

#endif // DECISION_SERVICESTATE_H
