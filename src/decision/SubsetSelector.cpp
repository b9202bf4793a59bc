#include "decision/SubsetSelector.h"

#include "core/StableHash.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace lacewing {

namespace {

// With fewer connections per user than this, fewer hosts use each target.
constexpr std::size_t kWantedShare = 2;

/** Indices 0 to aCount - 1, those with the highest score first. */
template<class Score>
std::vector<std::size_t> Highest(std::size_t aCount,
                                 std::size_t aTake,
                                 Score aScore)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> scored;
  scored.reserve(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    scored.emplace_back(~aScore(i), i);
  }
  const std::size_t take = std::min(aTake, aCount);
  std::partial_sort(
    scored.begin(), scored.begin() + static_cast<long>(take), scored.end());
  std::vector<std::size_t> best;
  for (std::size_t i = 0; i < take; ++i) {
    best.push_back(scored[i].second);
  }
  return best;
}

} // namespace

SubsetSelector::SubsetSelector(HostId aOwnHost, std::vector<HostId> aHosts)
  : hosts_(std::move(aHosts))
{
  // The host list lags and may not have the own host yet.
  hosts_.push_back(aOwnHost);
  std::sort(hosts_.begin(), hosts_.end());
  hosts_.erase(std::unique(hosts_.begin(), hosts_.end()), hosts_.end());
  own_ = static_cast<std::size_t>(
    std::lower_bound(hosts_.begin(), hosts_.end(), aOwnHost) - hosts_.begin());
}

ServiceSubset SubsetSelector::Select(const ServiceId& aService,
                                     const std::vector<TargetRoute>& aTargets,
                                     ConnectionCount aLimit) const
{
  const std::size_t budget = aLimit.value() - aLimit.value() / 5;
  const auto users = AssignUsers(aService, aTargets, budget);
  ServiceSubset subset;
  std::size_t share = budget;
  for (std::size_t t = 0; t < aTargets.size(); ++t) {
    if (std::binary_search(users[t].begin(), users[t].end(), own_)) {
      subset.targets.push_back(aTargets[t]);
      share = std::min(share, budget / users[t].size());
    }
  }
  std::sort(subset.targets.begin(),
            subset.targets.end(),
            [](const TargetRoute& aLeft, const TargetRoute& aRight) {
              return aLeft.id < aRight.id;
            });
  subset.connections = ConnectionCount(static_cast<std::uint32_t>(share));
  return subset;
}

std::vector<std::vector<std::size_t>> SubsetSelector::AssignUsers(
  const ServiceId& aService,
  const std::vector<TargetRoute>& aTargets,
  std::size_t aBudget) const
{
  const std::size_t hosts = hosts_.size();
  const std::size_t targets = aTargets.size();
  std::vector<std::vector<std::size_t>> users(targets);
  if (targets == 0 || aBudget == 0) {
    return users;
  }
  // Each target has the same number of users, which bounds its connections.
  std::size_t wanted = std::max<std::size_t>(1, aBudget / kWantedShare);
  if (targets > kMaxTargets) {
    const std::size_t bounded = (kMaxTargets * hosts) / targets;
    wanted = std::min(wanted, std::max<std::size_t>(kMinTargets, bounded));
  }
  wanted = std::min({ wanted, hosts, aBudget });

  const std::uint64_t service = StableHash64(aService.value());
  std::vector<std::uint64_t> hostHashes;
  for (const HostId& host : hosts_) {
    hostHashes.push_back(StableHash64(host.value(), service));
  }
  const auto score = [&](std::size_t aHost, std::uint64_t aTarget) {
    const std::uint64_t pair[] = { hostHashes[aHost], aTarget };
    return StableHash64(
      std::string_view(reinterpret_cast<const char*>(pair), sizeof(pair)));
  };
  std::vector<std::uint64_t> targetHashes;
  std::vector<std::size_t> used(hosts, 0);
  for (std::size_t t = 0; t < targets; ++t) {
    const std::uint64_t target = StableHash64(aTargets[t].id.value());
    targetHashes.push_back(target);
    users[t] = Highest(
      hosts, wanted, [&](std::size_t aHost) { return score(aHost, target); });
    for (const std::size_t host : users[t]) {
      ++used[host];
    }
  }
  // Rendezvous hashing leaves some hosts with too few targets; they join the
  // targets they rank highest while those have connections left.
  for (std::size_t host = 0; host < hosts; ++host) {
    if (used[host] >= std::min(kMinTargets, targets)) {
      continue;
    }
    for (const std::size_t t :
         Highest(targets, targets, [&](std::size_t aTarget) {
           return score(host, targetHashes[aTarget]);
         })) {
      if (used[host] >= kMinTargets) {
        break;
      }
      auto& own = users[t];
      if (own.size() < aBudget &&
          std::find(own.begin(), own.end(), host) == own.end()) {
        own.push_back(host);
        ++used[host];
      }
    }
  }
  for (auto& list : users) {
    std::sort(list.begin(), list.end());
  }
  return users;
}

} // namespace lacewing
