#include "rollout/CanarySubset.h"

#include "core/StableHash.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace lacewing {

namespace {

constexpr double kFullShare = 10000;
// Load of a canary target in relation to its load once all requests go to the
// new version.
constexpr double kLoadFactor = 1.25;
// With fewer, one slow target would decide the comparison.
constexpr std::size_t kMinTargets = 4;
// At the trial's last step fewer are used if the service has few targets: four
// would run at half their later load and hide a fault that needs load.
constexpr std::uint32_t kLoadedShare = 2500;
constexpr std::size_t kMinLoadedTargets = 2;

std::uint64_t Seed(const OrderId& aOrder)
{
  return StableHash64(
    aOrder.version.value(),
    StableHash64(aOrder.service.value(), aOrder.created.value()));
}

} // namespace

std::size_t CanaryCount(const RolloutDirective& aDirective, std::size_t aUsable)
{
  if (aDirective.shareBasisPoints == 0 ||
      aDirective.Verdict() == RolloutVerdict::kRejected) {
    return 0;
  }
  if (IsProven(aDirective.Verdict())) {
    return aUsable;
  }
  const double share = aDirective.shareBasisPoints / kFullShare;
  const auto wanted = static_cast<std::size_t>(
    std::ceil(share * static_cast<double>(aUsable) / kLoadFactor));
  const std::size_t least = aDirective.shareBasisPoints < kLoadedShare
                              ? kMinTargets
                              : kMinLoadedTargets;
  return std::min(aUsable, std::max(least, wanted));
}

std::vector<TargetId> CanarySubset(const RolloutDirective& aDirective,
                                   const std::vector<TargetId>& aUsable)
{
  const std::size_t count = CanaryCount(aDirective, aUsable.size());
  if (count == aUsable.size()) {
    return aUsable;
  }
  const std::uint64_t seed = Seed(aDirective.order);
  std::vector<std::pair<std::uint64_t, TargetId>> ranked;
  ranked.reserve(aUsable.size());
  for (const TargetId& target : aUsable) {
    ranked.emplace_back(StableHash64(target.value(), seed), target);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<TargetId> subset;
  for (std::size_t i = 0; i < count; ++i) {
    subset.push_back(std::move(ranked[i].second));
  }
  return subset;
}

} // namespace lacewing
