#include "quota/SilentOwners.h"

namespace lacewing {

namespace {

// One missing reply may be due to a busy host.
constexpr unsigned kUnreachableAfter = 2;

} // namespace

bool SilentOwners::OnTimeout(const HostId& aOwner, TimePoint aNow)
{
  Silence& silence = silences_[aOwner];
  if (silence.timeouts == 0) {
    silence.since = aNow;
  }
  return ++silence.timeouts == kUnreachableAfter;
}

bool SilentOwners::OnHeard(const HostId& aOwner)
{
  const auto silence = silences_.extract(aOwner);
  return !silence.empty() && silence.mapped().timeouts >= kUnreachableAfter;
}

std::optional<TimePoint> SilentOwners::UnreachableSince(
  const HostId& aOwner) const
{
  const auto silence = silences_.find(aOwner);
  if (silence == silences_.end() ||
      silence->second.timeouts < kUnreachableAfter) {
    return std::nullopt;
  }
  return silence->second.since;
}

} // namespace lacewing
