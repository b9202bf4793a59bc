#ifndef CONTROL_CONFIGPARTS_H
#define CONTROL_CONFIGPARTS_H

#include "control/HeldConfig.h"
#include "wire/ConfigMessage.h"

#include <cstddef>
#include <map>
#include <vector>

namespace lacewing {

/** Bytes of entries and blobs in one part; a larger blob goes alone. */
constexpr std::size_t kMaxConfigPartBytes = 256U << 10U;

/** Hashes of the objects that another process holds. */
using HeldHashes = std::map<ObjectName, BlobHash>;

/** The parts that bring a process that holds aHeld to aConfig. */
std::vector<ConfigMessage> SplitConfig(const HeldConfig& aConfig,
                                       const HeldHashes& aHeld);

} // namespace lacewing

#endif // CONTROL_CONFIGPARTS_H
