#include "gateway/RecordVersion.h"

#include "rollout/BadResponse.h"

#include <algorithm>

namespace lacewing {

void RecordSent(TrafficState& aState, Attempt& aAttempt)
{
  const auto fleet = aState.Fleet();
  aState.Versions().OnSent(*fleet, aAttempt.target);
  if (fleet->rollouts.count(aAttempt.target.service) == 0) {
    return;
  }
  const TargetId& id = aAttempt.target.id;
  const auto load = aState.Load();
  const auto reading = aState.ViewOf(id).NewestReading(load->Find(id));
  if (reading && reading->load) {
    aAttempt.reportedSlowdown = reading->load->slowdownPercent;
  }
}

void RecordVersion(TrafficState& aState,
                   const RouteSpec& aRoute,
                   const Attempt& aAttempt,
                   AttemptEnd aEnd,
                   const std::optional<TargetLoad>& aLoad)
{
  FinishedAttempt finished;
  finished.end = aEnd;
  finished.coldTarget = aAttempt.choice.cold;
  finished.latency = aState.Now() - aAttempt.sentAt;
  finished.typical = aState.StatisticsOf(aRoute).TypicalServiceTime();
  finished.slowdownPercent =
    std::max(aAttempt.reportedSlowdown, aLoad ? aLoad->slowdownPercent : 0);
  const auto fleet = aState.Fleet();
  aState.Versions().OnEnded(
    *fleet, aAttempt.target, aRoute.name, ClassifyAttempt(finished));
}

} // namespace lacewing
