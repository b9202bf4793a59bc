#ifndef CONTROL_LEASEDIRECTORY_H
#define CONTROL_LEASEDIRECTORY_H

#include "wire/LeaseStateEntry.h"

#include <map>
#include <vector>

namespace lacewing {

/** Who holds the lease on each shard, as far as this host knows. */
class LeaseDirectory
{
public:
  /** Takes an entry with a higher epoch, or a release of the same one. */
  bool Merge(const LeaseStateEntry& aEntry);
  /** Empty when unknown or released. */
  HostId Holder(ShardId aShard) const;
  std::vector<LeaseStateEntry> All() const;

private:
  std::map<ShardId, LeaseStateEntry> entries_;
};

} // namespace lacewing

#endif // CONTROL_LEASEDIRECTORY_H
