#ifndef CONFIG_CONFIGENCODER_H
#define CONFIG_CONFIGENCODER_H

#include "config/Configuration.h"
#include "config/EncodedConfig.h"
#include "config/LoadedConfig.h"
#include "lacewing/Outcome.h"

namespace lacewing {

/**
 * Makes the head that follows aBase, which aToken identifies, and the blobs
 * that it needs and aBase does not have; aBase may have no configuration. An
 * object that this release encodes alike keeps its entry, so that fields
 * written by a newer release survive. Fails with kTooLarge, or with the error
 * that readers would report.
 */
Outcome<EncodedConfig> EncodeNextConfig(const Configuration& aNext,
                                        const LoadedConfig& aBase,
                                        const WriteToken& aToken);

/** The same with all blobs, for a head whose blobs are not at hand. */
Outcome<EncodedConfig> EncodeConfig(const Configuration& aConfiguration,
                                    const ConfigHead& aHead,
                                    const WriteToken& aToken);

} // namespace lacewing

#endif // CONFIG_CONFIGENCODER_H
