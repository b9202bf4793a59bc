#ifndef CTL_INFORCEWAITER_H
#define CTL_INFORCEWAITER_H

#include "config/ConfigHead.h"
#include "ctl/CtlEnvironment.h"
#include "ctl/HostReport.h"
#include "lacewing/Outcome.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lacewing {

/** What to wait for. */
struct InForceWait
{
  ConfigVersion version;
  /**
   * Blobs that were found in the store. Another operator's clean-up may
   * delete them at the same moment, so that they are created again while
   * hosts still fetch them.
   */
  std::map<ObjectKey, std::string> adoptedBlobs;
  std::uint16_t adminPort = 0;
  TimePoint deadline;
};

/**
 * Asks the live hosts until each has the version in force or the deadline
 * passes; gives the last report of every live host. Fails when the host list
 * cannot be read until the deadline.
 */
void WaitUntilInForce(
  const CtlEnvironment& aEnvironment,
  ObjectStore& aStore,
  InForceWait aWait,
  std::function<void(Outcome<std::vector<HostReport>>)> aHandler);

} // namespace lacewing

#endif // CTL_INFORCEWAITER_H
