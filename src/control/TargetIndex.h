#ifndef CONTROL_TARGETINDEX_H
#define CONTROL_TARGETINDEX_H

#include "config/Configuration.h"
#include "decision/WarmUp.h"
#include "lacewing/ShardId.h"

#include <chrono>
#include <unordered_map>

namespace lacewing {

/** What the control daemon needs of each target in the configuration. */
class TargetIndex
{
public:
  struct Entry
  {
    ShardId shard;
    WarmUp warmUp;
  };

  using Entries = std::unordered_map<TargetId, Entry>;

  void Set(const Configuration& aConfiguration);

  /** Null for a target that is not in the configuration. */
  const Entry* Find(const TargetId& aTarget) const;
  const Entries& All() const { return entries_; }
  /** The longest deadline of all services. */
  std::chrono::milliseconds LongestDeadline() const { return longest_; }

private:
  Entries entries_;
  std::chrono::milliseconds longest_{ 0 };
};

/** The shard of a service: a stable hash modulo the number of shards. */
ShardId ShardOf(const ServiceId& aService);

} // namespace lacewing

#endif // CONTROL_TARGETINDEX_H
