#include "gateway/VersionDraw.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// A step of a rollout lasts for seconds, so that more than one change during
// the searches of one request is rare.
constexpr unsigned kMaxRepeats = 3;

/** Null if no order exists for the service. */
const VersionTargets* RolloutOf(const FleetSnapshot& aFleet,
                                const ServiceId& aService)
{
  const auto rollout = aFleet.rollouts.find(aService);
  return rollout == aFleet.rollouts.end() ? nullptr : &rollout->second;
}

/** The share of requests for the canary targets at this moment. */
double CanaryShare(const VersionTargets& aRollout, TimePoint aNow)
{
  if (!aRollout.split) {
    return 0;
  }
  const auto split = aRollout.split->Get();
  return split->order == aRollout.order && aNow < split->validUntil
           ? split->newShare
           : 0;
}

bool Contains(const std::vector<FleetTarget>* aTargets, const TargetId& aId)
{
  return aTargets != nullptr && std::any_of(aTargets->begin(),
                                            aTargets->end(),
                                            [&aId](const FleetTarget& aTarget) {
                                              return aTarget.spec.id == aId;
                                            });
}

} // namespace

void VersionDraw::Draw(TrafficState& aState, const ServiceId& aService)
{
  const auto fleet = aState.Fleet();
  const VersionTargets* rollout = RolloutOf(*fleet, aService);
  if (rollout == nullptr) {
    return;
  }
  aState.Versions().OnRequest(*rollout);
  const double share = CanaryShare(*rollout, aState.Now());
  drawn_ = share > 0 && aState.Versions().Draw(share);
}

bool VersionDraw::TakesCanary(TrafficState& aState, const ServiceId& aService)
{
  searchesCanary_ = false;
  if (!std::exchange(drawn_, false)) {
    return false;
  }
  const auto fleet = aState.Fleet();
  const VersionTargets* rollout = RolloutOf(*fleet, aService);
  searchesCanary_ =
    rollout != nullptr && CanaryShare(*rollout, aState.Now()) > 0;
  return searchesCanary_;
}

bool VersionDraw::MaySend(TrafficState& aState, const TargetSpec& aTarget)
{
  const auto fleet = aState.Fleet();
  const VersionTargets* rollout = RolloutOf(*fleet, aTarget.service);
  if (rollout == nullptr ||
      Contains(fleet->Find(aTarget.service, TargetGroup::kUsual), aTarget.id)) {
    return true;
  }
  return CanaryShare(*rollout, aState.Now()) > 0 &&
         Contains(&rollout->canary, aTarget.id);
}

bool VersionDraw::SearchesAgain(TrafficState& aState,
                                std::optional<FoundTarget>& aFound)
{
  const bool wasCanary = std::exchange(searchesCanary_, false);
  if (aFound && MaySend(aState, aFound->spec)) {
    return false;
  }
  if (!aFound) {
    return wasCanary;
  }
  aState.Pool().Put(aFound->spec, std::move(aFound->connection));
  aFound.reset();
  return repeats_++ < kMaxRepeats;
}

} // namespace lacewing
