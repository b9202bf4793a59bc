#ifndef CONFIG_CONFIGASSEMBLER_H
#define CONFIG_CONFIGASSEMBLER_H

#include "config/BlobMap.h"
#include "config/LoadedConfig.h"
#include "lacewing/Outcome.h"

namespace lacewing {

/**
 * Builds the configuration of aHead from aBlobs, which need hold only the
 * ChangedObjects since aPrevious (null for none); all others are shared with
 * it. Checks each blob against the head's hash, and the whole for
 * consistency. Fails with kInvalidMessage, kTooLarge or kNotFound.
 */
Outcome<LoadedConfig> AssembleConfig(const ConfigHead& aHead,
                                     const BlobMap& aBlobs,
                                     const LoadedConfig* aPrevious);

} // namespace lacewing

#endif // CONFIG_CONFIGASSEMBLER_H
