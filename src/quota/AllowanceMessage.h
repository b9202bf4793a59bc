#ifndef QUOTA_ALLOWANCEMESSAGE_H
#define QUOTA_ALLOWANCEMESSAGE_H

#include "lacewing/Outcome.h"
#include "quota/AllowanceGrant.h"
#include "quota/AllowanceRequest.h"

#include <string>
#include <string_view>
#include <variant>

namespace lacewing {

/** The datagrams of the exchange of tokens, encoded as CBOR. */
using AllowanceMessage = std::variant<AllowanceRequest, AllowanceGrant>;

std::string EncodeAllowanceMessage(const AllowanceMessage& aMessage);

/**
 * Errors are kInvalidMessage and kTooLarge. The size, the depth and the numbers
 * are checked, since a datagram may come from anywhere.
 */
Outcome<AllowanceMessage> DecodeAllowanceMessage(std::string_view aBytes);

} // namespace lacewing

#endif // QUOTA_ALLOWANCEMESSAGE_H
