#ifndef CONTROL_CONFIGHISTORY_H
#define CONTROL_CONFIGHISTORY_H

#include "config/ConfigHead.h"
#include "control/ConfigParts.h"

#include <deque>
#include <utility>

namespace lacewing {

/**
 * Versions remembered; at 23,000 changes a day they cover about a minute. One
 * takes about 80 KB with 580 services.
 */
constexpr std::size_t kRememberedVersions = 16;

/**
 * The hashes of recent versions, so that a peer that holds one of them need
 * not list its objects, which takes 39 KB with 580 services.
 */
class ConfigHistory
{
public:
  void Add(const ConfigHead& aHead);
  /** Null when the version is not remembered. */
  const HeldHashes* Find(ConfigVersion aVersion) const;

private:
  std::deque<std::pair<ConfigVersion, HeldHashes>> versions_;
};

} // namespace lacewing

#endif // CONTROL_CONFIGHISTORY_H
