#include "core/CborBounds.h"

#include <array>
#include <cstdint>
#include <string>

namespace lacewing {

namespace {

constexpr std::size_t kDeepest = 64;

constexpr unsigned kMajorBytes = 2;
constexpr unsigned kMajorText = 3;
constexpr unsigned kMajorArray = 4;
constexpr unsigned kMajorMap = 5;
constexpr unsigned kMajorTag = 6;

auto Malformed(const std::string& aWhat)
{
  return Fail(ErrorKind::kInvalidMessage,
              "the CBOR data " + aWhat,
              "send one item of known lengths without tags");
}

auto TooLarge(const std::string& aWhat)
{
  return Fail(
    ErrorKind::kTooLarge, "the CBOR data " + aWhat, "send less at once");
}

} // namespace

Outcome<void> CheckCborBounds(std::string_view aBytes,
                              const CborBounds& aBounds)
{
  if (aBytes.size() > aBounds.maxBytes.value()) {
    return TooLarge("has " + std::to_string(aBytes.size()) +
                    " bytes, more than " +
                    std::to_string(aBounds.maxBytes.value()));
  }
  const std::size_t maxDepth =
    aBounds.maxDepth < kDeepest ? aBounds.maxDepth : kDeepest;
  // Items still expected at each level; level 0 holds the single root item.
  std::array<std::uint64_t, kDeepest + 1> expected{};
  expected[0] = 1;
  std::size_t depth = 0;
  std::size_t position = 0;
  std::size_t items = 0;
  while (true) {
    while (expected[depth] == 0) {
      if (depth == 0) {
        if (position != aBytes.size()) {
          return Malformed("goes on after its first item");
        }
        return outcome::success();
      }
      --depth;
    }
    --expected[depth];
    if (++items > aBounds.maxItems) {
      return TooLarge("has more than " + std::to_string(aBounds.maxItems) +
                      " items");
    }
    if (position == aBytes.size()) {
      return Malformed("is truncated");
    }
    const auto head = static_cast<unsigned char>(aBytes[position++]);
    const unsigned major = head >> 5U;
    const unsigned info = head & 0x1fU;
    if (info > 27 || major == kMajorTag) {
      return Malformed("holds a tag or an unknown length");
    }
    std::uint64_t argument = info;
    if (info >= 24) {
      const std::size_t width = std::size_t{ 1 } << (info - 24);
      if (aBytes.size() - position < width) {
        return Malformed("is truncated");
      }
      argument = 0;
      for (std::size_t i = 0; i < width; ++i) {
        argument =
          (argument << 8U) | static_cast<unsigned char>(aBytes[position + i]);
      }
      position += width;
    }
    if (major == kMajorBytes || major == kMajorText) {
      if (argument > aBytes.size() - position) {
        return Malformed("is truncated");
      }
      position += argument;
    } else if (major == kMajorArray || major == kMajorMap) {
      // Each item takes at least one byte, so a longer count is a lie.
      if (argument > aBytes.size() - position) {
        return Malformed("is truncated");
      }
      if (depth == maxDepth) {
        return TooLarge("nests deeper than " + std::to_string(maxDepth));
      }
      expected[++depth] = major == kMajorMap ? 2 * argument : argument;
    }
  }
}

} // namespace lacewing
