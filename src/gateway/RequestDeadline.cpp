#include "gateway/RequestDeadline.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace lacewing {

namespace {

// The caller's timeout if it states none, an invalid one or a longer one; the
// route's timeout still applies.
constexpr Duration kMaxCallerTimeout = std::chrono::hours(1);

} // namespace

TimePoint DeadlineOf(const std::string& aText,
                     TimePoint aStart,
                     Duration aTimeout)
{
  Duration callerTimeout = kMaxCallerTimeout;
  std::int64_t milliseconds = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), milliseconds);
  if (!aText.empty() && error == std::errc() && milliseconds >= 0 &&
      milliseconds < kMaxCallerTimeout / std::chrono::milliseconds(1)) {
    callerTimeout = std::chrono::milliseconds(milliseconds);
  }
  return aStart + std::min(callerTimeout, aTimeout);
}

std::string MillisecondsText(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

} // namespace lacewing
