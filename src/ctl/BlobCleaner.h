#ifndef CTL_BLOBCLEANER_H
#define CTL_BLOBCLEANER_H

#include "config/ConfigHead.h"
#include "lacewing/Outcome.h"
#include "store/ObjectStore.h"

#include <cstdint>
#include <functional>

namespace lacewing {

/** Versions whose blobs stay readable for hosts that lag behind. */
constexpr std::uint64_t kKeptVersions = 16;

/**
 * Notes which blobs of aBefore the head aAfter no longer needs, as the object
 * config/retired/<version of aAfter>.
 */
void RecordRetired(ObjectStore& aStore,
                   const ConfigHead& aBefore,
                   const ConfigHead& aAfter,
                   std::function<void(Outcome<void>)> aHandler);

/**
 * Deletes the blobs that were retired kKeptVersions ago or earlier and that
 * the current head does not name, and then their notes. What fails is left
 * for the next run.
 */
void DeleteRetired(ObjectStore& aStore,
                   std::function<void(Outcome<void>)> aHandler);

} // namespace lacewing

#endif // CTL_BLOBCLEANER_H
