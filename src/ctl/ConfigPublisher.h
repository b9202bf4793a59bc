#ifndef CTL_CONFIGPUBLISHER_H
#define CTL_CONFIGPUBLISHER_H

#include "config/EncodedConfig.h"
#include "ctl/CtlEnvironment.h"
#include "ctl/HostReport.h"
#include "ctl/StoredConfig.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace lacewing {

/** A new configuration to put in force. */
struct Publication
{
  StoredConfig base;
  std::shared_ptr<const EncodedConfig> next;
  std::uint16_t adminPort = 0;
  TimePoint deadline;
};

/** What became of a publication. */
struct PublicationResult
{
  /** Whether the head was written; errors as those of WriteHead. */
  Outcome<void> written = outcome::success();
  /** The live hosts' last reports, or why there are none. */
  Outcome<std::vector<HostReport>> hosts = std::vector<HostReport>();
  /** Whether old blobs could be deleted; a failure does no harm. */
  Outcome<void> cleaned = outcome::success();
};

/**
 * Writes the changed blobs, then the head if the base is still current; waits
 * until the version is in force on every live host and deletes old blobs.
 */
void Publish(const CtlEnvironment& aEnvironment,
             ObjectStore& aStore,
             Publication aPublication,
             std::function<void(PublicationResult)> aHandler);

} // namespace lacewing

#endif // CTL_CONFIGPUBLISHER_H
