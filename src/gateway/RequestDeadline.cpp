#include "gateway/RequestDeadline.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace lacewing {

namespace {

// The caller's patience when it states none beyond the route's timeout.
constexpr Duration kLongest = std::chrono::hours(1);

} // namespace

TimePoint DeadlineOf(const std::string& aText,
                     TimePoint aStart,
                     Duration aTimeout)
{
  Duration patience = kLongest;
  std::int64_t milliseconds = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), milliseconds);
  if (!aText.empty() && error == std::errc() && milliseconds >= 0 &&
      milliseconds < kLongest / std::chrono::milliseconds(1)) {
    patience = std::chrono::milliseconds(milliseconds);
  }
  return aStart + std::min(patience, aTimeout);
}

std::string MillisecondsText(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

} // namespace lacewing
