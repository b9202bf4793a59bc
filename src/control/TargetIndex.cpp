#include "control/TargetIndex.h"

#include "core/StableHash.h"
#include "decision/LeaseRanking.h"

#include <algorithm>

namespace lacewing {

void TargetIndex::Set(const Configuration& aConfiguration)
{
  entries_.clear();
  longest_ = std::chrono::milliseconds(0);
  for (const auto& [id, service] : aConfiguration.services) {
    longest_ = std::max(longest_, service->deadline);
    const Entry entry{ ShardOf(id),
                       { service->slots,
                         service->coldLimit,
                         service->coldTime,
                         service->rampTime } };
    for (const TargetConfig& target : service->targets) {
      entries_.emplace(target.id, entry);
    }
  }
}

const TargetIndex::Entry* TargetIndex::Find(const TargetId& aTarget) const
{
  const auto found = entries_.find(aTarget);
  return found == entries_.end() ? nullptr : &found->second;
}

ShardId ShardOf(const ServiceId& aService)
{
  return ShardId(
    static_cast<std::uint32_t>(StableHash64(aService.value()) % kLeaseShards));
}

} // namespace lacewing
