#include "core/StableHash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace lacewing {

std::uint64_t StableHash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::string ContentHash(std::string_view aBytes)
{
  const XXH128_hash_t hash = XXH3_128bits(aBytes.data(), aBytes.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

} // namespace lacewing
