#ifndef CORE_STABLEHASH_H
#define CORE_STABLEHASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace lacewing {

/** 64-bit xxHash of the bytes, equal on every build and host. */
std::uint64_t StableHash64(std::string_view aBytes, std::uint64_t aSeed = 0);

/** 128-bit xxHash of the bytes as 32 lower-case hexadecimal digits. */
std::string ContentHash(std::string_view aBytes);

} // namespace lacewing

#endif // CORE_STABLEHASH_H
