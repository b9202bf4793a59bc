#include "config/ConfigHead.h"

namespace lacewing {

std::optional<ConfigVersion> VersionOfToken(const ConfigHead& aHead,
                                            const WriteToken& aToken)
{
  if (aHead.token == aToken) {
    return aHead.version;
  }
  for (const RecentWrite& write : aHead.recent) {
    if (write.token == aToken) {
      return write.version;
    }
  }
  return std::nullopt;
}

ConfigHead NextHead(const ConfigHead& aHead, const WriteToken& aToken)
{
  ConfigHead next = aHead;
  next.version = aHead.version + ConfigVersion(1);
  next.token = aToken;
  if (!aHead.token.empty()) {
    next.recent.insert(next.recent.begin(), { aHead.token, aHead.version });
  }
  if (next.recent.size() > kMaxRecentWrites) {
    next.recent.resize(kMaxRecentWrites);
  }
  return next;
}

std::vector<ObjectName> ChangedObjects(const ConfigHead& aPrevious,
                                       const ConfigHead& aNext)
{
  std::vector<ObjectName> changed;
  for (const auto& [name, entry] : aNext.entries) {
    const auto previous = aPrevious.entries.find(name);
    if (previous == aPrevious.entries.end() ||
        previous->second.hash != entry.hash) {
      changed.push_back(name);
    }
  }
  return changed;
}

} // namespace lacewing
