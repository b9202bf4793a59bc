#ifndef DECISION_SERVICESTATE_H
#define DECISION_SERVICESTATE_H

#include "decision/LatencyAverage.h"
#include "decision/OpenRequest.h"
#include "decision/RetryBudget.h"
#include "decision/RoutingStrategy.h"
#include "decision/ServiceRoute.h"
#include "decision/SlowLimit.h"
#include "decision/TargetView.h"
#include "decision/WaitQueue.h"
#include "lacewing/ZoneId.h"

#include <memory>
#include <random>
#include <vector>

namespace lacewing {

/** One worker's state of one service: its targets and waiting requests. */
class ServiceState
{
public:
  using Target = std::shared_ptr<TargetView>;

  ServiceState(ServiceId aId,
               std::unique_ptr<RoutingStrategy> aStrategy,
               BasisPoints aRetryBudget);

  const ServiceId& Id() const { return id_; }
  /** Null when the service left the configuration. */
  const ServiceRoute* Route() const { return route_.get(); }
  const std::vector<Target>& Targets() const { return targets_; }
  WaitQueue& Waiting() { return waiting_; }
  const WaitQueue& Waiting() const { return waiting_; }
  RetryBudget& Retries() { return retries_; }
  /** Usual answer time; zero before the first answer. */
  Duration Typical() const { return typical_.Value(); }
  /** Requests of this service that refer to it; kept by the engine. */
  std::size_t open = 0;

  /** Keeps the views of targets that stay. */
  void Update(std::shared_ptr<const ServiceRoute> aRoute,
              const ZoneId& aOwnZone);

  /** The target for the request; null when it should wait here. */
  Target Pick(const OpenRequest& aRequest,
              TimePoint aNow,
              std::mt19937_64& aRandom);

  /**
   * When to call Pick again after it found nothing: soon when a target has a
   * free slot that the strategy holds back, because that changes with time.
   */
  Duration RecheckAfter(TimePoint aNow) const;

  void OnRequest();
  void OnSent(TargetView& aTarget, TimePoint aNow);
  void OnAnswered(TargetView& aTarget,
                  TimePoint aNow,
                  TimePoint aSent,
                  const AttemptAnswer& aAnswer);
  void OnFailed(TargetView& aTarget,
                TimePoint aNow,
                TimePoint aSent,
                AttemptFailure aFailure);
  void OnCancelled(TargetView& aTarget, TimePoint aNow, TimePoint aSent);

  /** Expected time until one more waiting request is sent. */
  Duration ExpectedWait() const;
  /** Appends what was seen of the targets since the last call. */
  void TakeObservations(TimePoint aNow,
                        std::vector<TargetObservation>& aObservations);

private:
  /** Tells targets that need grants how many slots could be used. */
  void ReportWanted();
  SlotCount ConnectionLimit() const;
  bool LatencyJumped(const TargetView& aTarget) const;

  ServiceId id_;
  std::unique_ptr<RoutingStrategy> strategy_;
  std::shared_ptr<const ServiceRoute> route_;
  std::vector<Target> targets_;
  WaitQueue waiting_;
  RetryBudget retries_;
  LatencyAverage typical_;
  SlowLimit slow_;
  /** Mean of other workers' requests in progress at a target. */
  double usualOthers_ = 0;
  std::size_t inFlight_ = 0;
  bool used_ = false;
  /** Something happened at a target since the last TakeObservations. */
  bool active_ = false;
};

} // namespace lacewing

#endif // DECISION_SERVICESTATE_H
