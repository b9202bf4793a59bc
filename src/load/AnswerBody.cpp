#include "load/AnswerBody.h"

#include "core/StableHash.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace lacewing {

namespace {

constexpr std::string_view kSizeParameter = "bytes=";

/** One step of the splitmix64 sequence; several GB/s, unlike std engines. */
std::uint64_t NextWord(std::uint64_t& aState)
{
  aState += 0x9E3779B97F4A7C15ULL;
  std::uint64_t word = aState;
  word = (word ^ (word >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  word = (word ^ (word >> 27U)) * 0x94D049BB133111EBULL;
  return word ^ (word >> 31U);
}

} // namespace

ByteCount AnswerSize(std::string_view aTarget)
{
  const std::size_t mark = aTarget.find('?');
  if (mark == std::string_view::npos) {
    return kDefaultAnswerSize;
  }
  std::size_t at = mark;
  while (at != std::string_view::npos) {
    const std::string_view rest = aTarget.substr(at + 1);
    if (rest.substr(0, kSizeParameter.size()) == kSizeParameter) {
      const std::string_view digits = rest.substr(kSizeParameter.size());
      std::uint64_t size = 0;
      std::from_chars(digits.data(), digits.data() + digits.size(), size);
      return std::min(ByteCount(size), kMaxAnswerSize);
    }
    at = aTarget.find('&', at + 1);
  }
  return kDefaultAnswerSize;
}

std::string MakeAnswerBody(std::string_view aMethod,
                           std::string_view aTarget,
                           std::string_view aRequestBody)
{
  std::uint64_t state =
    StableHash64(aMethod, StableHash64(aTarget, StableHash64(aRequestBody)));
  std::string body(AnswerSize(aTarget).value(), '\0');
  std::size_t offset = 0;
  while (offset < body.size()) {
    const std::uint64_t word = NextWord(state);
    const std::size_t part = std::min(sizeof word, body.size() - offset);
    std::memcpy(body.data() + offset, &word, part);
    offset += part;
  }
  return body;
}

} // namespace lacewing
