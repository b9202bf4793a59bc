#ifndef CORE_CBORBOUNDS_H
#define CORE_CBORBOUNDS_H

#include "lacewing/ByteCount.h"
#include "lacewing/Outcome.h"

#include <cstddef>
#include <string_view>

namespace lacewing {

/** Limits that untrusted CBOR must keep to before it is decoded. */
struct CborBounds
{
  ByteCount maxBytes{ 1'000'000 };
  std::size_t maxDepth = 8;
  std::size_t maxItems = 200'000;
};

/**
 * Checks that aBytes is one whole CBOR item within the bounds, without
 * allocating or recursing. nlohmann-json decodes nested items and nested
 * strings of unknown length recursively, so that a small hostile input
 * exhausts the stack; tags and unknown lengths are therefore refused.
 */
Outcome<void> CheckCborBounds(std::string_view aBytes,
                              const CborBounds& aBounds);

} // namespace lacewing

#endif // CORE_CBORBOUNDS_H
