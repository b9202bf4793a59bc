#include "gateway/VersionTraffic.h"

#include "core/StableHash.h"

#include <algorithm>

namespace lacewing {

VersionTraffic::VersionTraffic(std::uint64_t aSeed, bool aEnabled)
  : enabled_(aEnabled)
  , random_(aSeed)
{
}

bool VersionTraffic::Draw(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(random_) < aShare;
}

RolloutEvidence& VersionTraffic::EvidenceOf(const VersionTargets& aRollout)
{
  RolloutEvidence& evidence = evidence_[aRollout.order.service];
  if (evidence.order != aRollout.order) {
    evidence = RolloutEvidence();
    evidence.order = aRollout.order;
  }
  return evidence;
}

RolloutEvidence* VersionTraffic::EvidenceOf(const FleetSnapshot& aFleet,
                                            const ServiceId& aService)
{
  const auto rollout = aFleet.rollouts.find(aService);
  return rollout != aFleet.rollouts.end() && rollout->second.inProgress
           ? &EvidenceOf(rollout->second)
           : nullptr;
}

RouteEvidence& VersionTraffic::RouteOf(RolloutEvidence& aEvidence,
                                       const RouteName& aRoute)
{
  const auto find = [&aEvidence](std::uint32_t aKey) {
    return std::find_if(
      aEvidence.routes.begin(),
      aEvidence.routes.end(),
      [aKey](const RouteEvidence& aEach) { return aEach.route == aKey; });
  };
  std::uint32_t key = EvidenceKeyOf(aRoute);
  auto found = find(key);
  if (found == aEvidence.routes.end() &&
      aEvidence.routes.size() >= RolloutEvidence::kMaxRoutes) {
    key = 0;
    found = find(key);
  }
  if (found != aEvidence.routes.end()) {
    return *found;
  }
  aEvidence.routes.emplace_back();
  aEvidence.routes.back().route = key;
  return aEvidence.routes.back();
}

void VersionTraffic::OnRequest(const VersionTargets& aRollout)
{
  if (aRollout.inProgress) {
    ++EvidenceOf(aRollout).requests;
  }
}

void VersionTraffic::OnSent(const FleetSnapshot& aFleet,
                            const TargetSpec& aTarget)
{
  if (!enabled_) {
    return;
  }
  ++inFlight_[aTarget.service][aTarget.version];
  RolloutEvidence* evidence = EvidenceOf(aFleet, aTarget.service);
  if (evidence != nullptr && evidence->order.version == aTarget.version) {
    ++evidence->newAttempts;
  }
}

void VersionTraffic::OnEnded(const FleetSnapshot& aFleet,
                             const TargetSpec& aTarget,
                             const RouteName& aRoute,
                             AttemptEvidence aEvidence)
{
  if (!enabled_) {
    return;
  }
  std::map<ServiceVersion, unsigned>& versions = inFlight_[aTarget.service];
  const auto version = versions.find(aTarget.version);
  if (version != versions.end() && --version->second == 0) {
    versions.erase(version);
  }
  RolloutEvidence* evidence = EvidenceOf(aFleet, aTarget.service);
  if (evidence == nullptr || aEvidence == AttemptEvidence::kNone) {
    return;
  }
  RouteEvidence& route = RouteOf(*evidence, aRoute);
  const std::uint32_t bad = aEvidence == AttemptEvidence::kBad ? 1 : 0;
  if (evidence->order.version == aTarget.version) {
    ++route.newCount;
    route.newBad += bad;
  } else {
    ++route.oldCount;
    route.oldBad += bad;
  }
}

unsigned VersionTraffic::OldInFlight(const OrderId& aOrder) const
{
  unsigned old = 0;
  const auto versions = inFlight_.find(aOrder.service);
  if (versions != inFlight_.end()) {
    for (const auto& [version, count] : versions->second) {
      old += version == aOrder.version ? 0 : count;
    }
  }
  return old;
}

std::vector<RolloutEvidence> VersionTraffic::Evidence(
  const FleetSnapshot& aFleet)
{
  std::vector<RolloutEvidence> all;
  for (const auto& [service, rollout] : aFleet.rollouts) {
    if (rollout.inProgress) {
      RolloutEvidence& evidence = EvidenceOf(rollout);
      evidence.step = rollout.step;
      evidence.oldInFlight = OldInFlight(rollout.order);
      all.push_back(evidence);
    }
  }
  return all;
}

void VersionTraffic::Retain(const FleetSnapshot& aFleet)
{
  for (auto each = evidence_.begin(); each != evidence_.end();) {
    const auto rollout = aFleet.rollouts.find(each->first);
    const bool inProgress =
      rollout != aFleet.rollouts.end() && rollout->second.inProgress;
    each = inProgress ? std::next(each) : evidence_.erase(each);
  }
}

std::uint32_t EvidenceKeyOf(const RouteName& aRoute)
{
  const auto key = static_cast<std::uint32_t>(StableHash64(aRoute.value()));
  return key == 0 ? 1 : key;
}

} // namespace lacewing
