#include "entry/KnownPhases.h"

namespace lacewing {

bool KnownPhases::Merge(const TargetId& aTarget, const TargetStatus& aStatus)
{
  const auto [entry, added] = phases_.emplace(aTarget, aStatus);
  TargetStatus& known = entry->second;
  const bool newer =
    aStatus.epoch > known.epoch ||
    (aStatus.epoch == known.epoch && aStatus.phase > known.phase);
  if (newer) {
    known = aStatus;
  }
  return added || newer;
}

TargetStatus KnownPhases::Find(const TargetId& aTarget) const
{
  const auto entry = phases_.find(aTarget);
  return entry == phases_.end() ? TargetStatus{ Epoch(), unknown_ }
                                : entry->second;
}

void KnownPhases::Keep(const std::set<TargetId>& aKept)
{
  for (auto entry = phases_.begin(); entry != phases_.end();) {
    entry =
      aKept.count(entry->first) == 0 ? phases_.erase(entry) : std::next(entry);
  }
}

} // namespace lacewing
