#ifndef CONFIG_RETIREDCODEC_H
#define CONFIG_RETIREDCODEC_H

#include "lacewing/ObjectKey.h"
#include "lacewing/Outcome.h"

#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/** The keys of blobs that one version no longer needs, as CBOR. */
std::string EncodeRetired(const std::vector<ObjectKey>& aKeys);

/**
 * Fails with kTooLarge or kInvalidMessage, also when a key is not that of a
 * blob, because the keys lead to deletions.
 */
Outcome<std::vector<ObjectKey>> DecodeRetired(std::string_view aBytes);

} // namespace lacewing

#endif // CONFIG_RETIREDCODEC_H
