#ifndef NET_FRAMECODEC_H
#define NET_FRAMECODEC_H

#include "lacewing/Outcome.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace lacewing {

/** Encodes a message as a CBOR map. */
std::string EncodeFrame(const nlohmann::json& aMessage);

/**
 * Decodes an untrusted frame. Fails with kTooLarge beyond the limits of
 * MessageLimits.h and with kInvalidMessage when it is not one CBOR map.
 */
Outcome<nlohmann::json> DecodeFrame(std::string_view aFrame);

} // namespace lacewing

#endif // NET_FRAMECODEC_H
