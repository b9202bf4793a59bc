#ifndef CORE_DEFLATE_H
#define CORE_DEFLATE_H

#include "lacewing/ByteCount.h"
#include "lacewing/Outcome.h"

#include <string>
#include <string_view>

namespace lacewing {

/** Packs bytes with zlib; text shrinks to about a tenth. */
std::string Deflate(std::string_view aBytes);

/**
 * Unpacks what Deflate packed. Errors: kInvalidMessage for other bytes,
 * kTooLarge for more than aMost.
 */
Outcome<std::string> Inflate(std::string_view aBytes, ByteCount aMost);

} // namespace lacewing

#endif // CORE_DEFLATE_H
