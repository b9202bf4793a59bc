#ifndef CONFIG_HEADCODEC_H
#define CONFIG_HEADCODEC_H

#include "config/ConfigHead.h"
#include "lacewing/Outcome.h"

#include <string>
#include <string_view>

namespace lacewing {

/**
 * The head as CBOR. Store keys are left out, because they follow from name
 * and hash; an entry takes about 60 bytes. Fails with kTooLarge beyond 1 MB.
 */
Outcome<std::string> EncodeHead(const ConfigHead& aHead);

/** Fails with kTooLarge or kInvalidMessage. */
Outcome<ConfigHead> DecodeHead(std::string_view aBytes);

} // namespace lacewing

#endif // CONFIG_HEADCODEC_H
