#include "standin/HostTable.h"

#include <utility>

namespace lacewing {

void HostTable::Change(HostId aId, std::optional<Host> aHost, Duration aLag)
{
  pending_.push_back({ clock_.Now() + aLag, std::move(aId), std::move(aHost) });
}

const std::map<HostId, HostTable::Host>& HostTable::Shown()
{
  const TimePoint now = clock_.Now();
  // Changes show in their order even when the lag was shortened in between.
  while (!pending_.empty() && pending_.front().due <= now) {
    Pending& change = pending_.front();
    if (change.host) {
      shown_[change.id] = *std::move(change.host);
    } else {
      shown_.erase(change.id);
    }
    pending_.pop_front();
  }
  return shown_;
}

} // namespace lacewing
