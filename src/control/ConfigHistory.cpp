#include "control/ConfigHistory.h"

namespace lacewing {

void ConfigHistory::Add(const ConfigHead& aHead)
{
  HeldHashes hashes;
  for (const auto& [name, entry] : aHead.entries) {
    hashes[name] = entry.hash;
  }
  versions_.emplace_back(aHead.version, std::move(hashes));
  if (versions_.size() > kRememberedVersions) {
    versions_.pop_front();
  }
}

const HeldHashes* ConfigHistory::Find(ConfigVersion aVersion) const
{
  for (const auto& [version, hashes] : versions_) {
    if (version == aVersion) {
      return &hashes;
    }
  }
  return nullptr;
}

} // namespace lacewing
