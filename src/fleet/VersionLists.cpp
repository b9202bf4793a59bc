#include "fleet/VersionLists.h"

#include "rollout/CanarySubset.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::uint32_t kFullShare = 10000;

} // namespace

VersionLists VersionLists::Make(const std::vector<FleetTarget>& aTargets,
                                const RolloutDirective& aDirective,
                                const std::set<TargetId>& aWarm,
                                bool aInUse)
{
  std::vector<FleetTarget> ordered;
  VersionLists lists;
  for (const FleetTarget& target : aTargets) {
    const bool isNew = target.spec.version == aDirective.order.version;
    (isNew ? ordered : lists.usual).push_back(target);
  }
  const bool proven = IsProven(aDirective.Verdict());
  const bool rejected = aDirective.Verdict() == RolloutVerdict::kRejected;
  if (proven && aDirective.shareBasisPoints == kFullShare) {
    if (!ordered.empty()) {
      lists.usual = std::move(ordered);
    }
    return lists;
  }
  // Without old targets only a version that is known may get their requests.
  if (lists.usual.empty() && !rejected && (proven || aInUse)) {
    lists.usual = std::move(ordered);
    return lists;
  }
  const std::vector<TargetId> subset =
    CanarySubset(aDirective, { aWarm.begin(), aWarm.end() });
  for (FleetTarget& target : ordered) {
    if (std::find(subset.begin(), subset.end(), target.spec.id) !=
        subset.end()) {
      lists.canary.push_back(std::move(target));
    }
  }
  return lists;
}

} // namespace lacewing
