#include "rollout/PauseGuard.h"

namespace lacewing {

namespace {

// Calls come each 100 to 500 ms.
constexpr Duration kMaxGap = std::chrono::seconds(1);
// Time in which a host reads the datagrams that waited during a pause.
constexpr Duration kBacklogTime = std::chrono::milliseconds(500);

} // namespace

void PauseGuard::OnCall(TimePoint aNow)
{
  if (lastCall_ && aNow - *lastCall_ > kMaxGap) {
    usableFrom_ = aNow + kBacklogTime;
  }
  lastCall_ = aNow;
}

} // namespace lacewing
