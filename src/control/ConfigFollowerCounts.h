#ifndef CONTROL_CONFIGFOLLOWERCOUNTS_H
#define CONTROL_CONFIGFOLLOWERCOUNTS_H

#include <cstdint>

namespace lacewing {

/** What a ConfigFollower met since its start. */
struct ConfigFollowerCounts
{
  /** Heads with a lower version than the one in force. */
  std::uint64_t staleHeads = 0;
  /** Heads or blobs that could not be put in force. */
  std::uint64_t invalidObjects = 0;
  std::uint64_t failedReads = 0;
};

} // namespace lacewing

#endif // CONTROL_CONFIGFOLLOWERCOUNTS_H
