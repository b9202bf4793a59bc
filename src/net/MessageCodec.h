#ifndef NET_MESSAGECODEC_H
#define NET_MESSAGECODEC_H

#include "lacewing/Outcome.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace lacewing {

/** Encodes a message as a CBOR map. */
std::string EncodeMessage(const nlohmann::json& aMessage);

/**
 * Decodes an untrusted frame. Fails with kTooLarge beyond the limits of
 * MessageLimits.h and with kInvalidMessage when it is not one CBOR map.
 */
Outcome<nlohmann::json> DecodeMessage(std::string_view aFrame);

} // namespace lacewing

#endif // NET_MESSAGECODEC_H
