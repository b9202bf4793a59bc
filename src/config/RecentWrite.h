#ifndef CONFIG_RECENTWRITE_H
#define CONFIG_RECENTWRITE_H

#include "config/WriteToken.h"
#include "lacewing/ConfigVersion.h"

namespace lacewing {

/** The token and the version of an earlier write of the head. */
struct RecentWrite
{
  WriteToken token;
  ConfigVersion version;

  friend bool operator==(const RecentWrite& aLeft, const RecentWrite& aRight)
  {
    return aLeft.token == aRight.token && aLeft.version == aRight.version;
  }
};

} // namespace lacewing

#endif // CONFIG_RECENTWRITE_H
