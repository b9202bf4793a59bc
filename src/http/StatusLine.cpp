#include "http/StatusLine.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::string_view kMajorVersion = "HTTP/1.";
constexpr std::size_t kStatusBegin = 9;
constexpr std::size_t kStatusEnd = 12;
constexpr unsigned kLeastStatus = 100;
constexpr unsigned kGreatestStatus = 599;

bool IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

} // namespace

std::optional<unsigned> ReadStatus(std::string_view aLine)
{
  if (aLine.size() < kStatusEnd ||
      aLine.substr(0, kMajorVersion.size()) != kMajorVersion ||
      !IsDigit(aLine[kMajorVersion.size()]) || aLine[kStatusBegin - 1] != ' ' ||
      (aLine.size() > kStatusEnd && aLine[kStatusEnd] != ' ')) {
    return std::nullopt;
  }
  const std::string_view digits =
    aLine.substr(kStatusBegin, kStatusEnd - kStatusBegin);
  if (!std::all_of(digits.begin(), digits.end(), IsDigit)) {
    return std::nullopt;
  }
  unsigned status = 0;
  for (const char digit : digits) {
    status = status * 10 + static_cast<unsigned>(digit - '0');
  }
  return status >= kLeastStatus && status <= kGreatestStatus
           ? std::optional<unsigned>(status)
           : std::nullopt;
}

} // namespace lacewing
