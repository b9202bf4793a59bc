#ifndef CONFIG_CONFIGENCODER_H
#define CONFIG_CONFIGENCODER_H

#include "config/Configuration.h"
#include "config/EncodedConfig.h"
#include "lacewing/Outcome.h"

namespace lacewing {

/**
 * Encodes all objects and enters them into the successor of aHead, which
 * aToken identifies. Fails with kTooLarge, or with the error that readers
 * would report.
 */
Outcome<EncodedConfig> EncodeConfig(const Configuration& aConfiguration,
                                    const ConfigHead& aHead,
                                    const WriteToken& aToken);

} // namespace lacewing

#endif // CONFIG_CONFIGENCODER_H
