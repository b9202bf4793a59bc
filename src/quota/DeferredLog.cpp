#include "quota/DeferredLog.h"

#include "core/Log.h"

#include <string>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration kLogPeriod = std::chrono::seconds(1);

} // namespace

void DeferredLog::OnDeferred(const CustomerId& aCustomer,
                             unsigned aCount,
                             Duration aRetryAfter,
                             TimePoint aNow)
{
  Entry& entry = entries_[aCustomer];
  entry.count += aCount;
  if (entry.loggedAt + kLogPeriod > aNow) {
    return;
  }
  entry.loggedAt = aNow;
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRetryAfter);
  Log(LogLevel::kInfo,
      "allowance",
      { { "customer", aCustomer.value() },
        { "deferred", std::to_string(std::exchange(entry.count, 0)) },
        { "retry_after_ms", std::to_string(milliseconds.count()) } });
}

} // namespace lacewing
