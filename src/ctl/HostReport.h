#ifndef CTL_HOSTREPORT_H
#define CTL_HOSTREPORT_H

#include "lacewing/ConfigVersion.h"
#include "store/ListedHost.h"

#include <optional>
#include <string>

namespace lacewing {

/** What a listed host said about the configuration in force on it. */
struct HostReport
{
  ListedHost host;
  std::optional<ConfigVersion> version;
  /** Why there is no version. */
  std::string problem;
};

/** Whether the host is known to have aVersion or a later one in force. */
inline bool HasInForce(const HostReport& aReport, ConfigVersion aVersion)
{
  return aReport.version && *aReport.version >= aVersion;
}

} // namespace lacewing

#endif // CTL_HOSTREPORT_H
