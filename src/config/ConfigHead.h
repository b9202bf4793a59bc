#ifndef CONFIG_CONFIGHEAD_H
#define CONFIG_CONFIGHEAD_H

#include "config/HeadEntry.h"
#include "config/ObjectName.h"
#include "config/RecentWrite.h"
#include "lacewing/ConfigVersion.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace lacewing {

/** Writes remembered in a head; 64 pairs take about 4 KB. */
constexpr std::size_t kMaxRecentWrites = 64;

/** The object that says which blobs make up the current configuration. */
struct ConfigHead
{
  ConfigVersion version;
  WriteToken token;
  /** Earlier writes, the latest first; without the head's own. */
  std::vector<RecentWrite> recent;
  std::map<ObjectName, HeadEntry> entries;

  friend bool operator==(const ConfigHead& aLeft, const ConfigHead& aRight)
  {
    return aLeft.version == aRight.version && aLeft.token == aRight.token &&
           aLeft.recent == aRight.recent && aLeft.entries == aRight.entries;
  }
};

/** The version that the token's write made, if the head remembers it. */
std::optional<ConfigVersion> VersionOfToken(const ConfigHead& aHead,
                                            const WriteToken& aToken);

/** The head that follows aHead, with its entries still unchanged. */
ConfigHead NextHead(const ConfigHead& aHead, const WriteToken& aToken);

/** Objects of aNext that aPrevious does not have with the same hash. */
std::vector<ObjectName> ChangedObjects(const ConfigHead& aPrevious,
                                       const ConfigHead& aNext);

} // namespace lacewing

#endif // CONFIG_CONFIGHEAD_H
