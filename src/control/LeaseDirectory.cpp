#include "control/LeaseDirectory.h"

#include "decision/LeaseRanking.h"

namespace lacewing {

bool LeaseDirectory::Merge(const LeaseStateEntry& aEntry)
{
  if (aEntry.shard.value() >= kLeaseShards) {
    return false;
  }
  LeaseStateEntry& known = entries_[aEntry.shard];
  const bool released = aEntry.epoch == known.epoch && aEntry.holder.empty() &&
                        !known.holder.empty();
  if (aEntry.epoch <= known.epoch && !released) {
    return false;
  }
  known = aEntry;
  return true;
}

HostId LeaseDirectory::Holder(ShardId aShard) const
{
  const auto found = entries_.find(aShard);
  return found == entries_.end() ? HostId() : found->second.holder;
}

std::vector<LeaseStateEntry> LeaseDirectory::All() const
{
  std::vector<LeaseStateEntry> entries;
  for (const auto& [shard, entry] : entries_) {
    if (entry.epoch > Epoch(0)) {
      entries.push_back(entry);
    }
  }
  return entries;
}

} // namespace lacewing
