#ifndef QUOTA_SILENTOWNERS_H
#define QUOTA_SILENTOWNERS_H

#include "lacewing/Clock.h"
#include "lacewing/HostId.h"

#include <map>
#include <optional>

namespace lacewing {

/**
 * The owners that did not reply. Counted for each owner and not for each
 * customer, since a host sees some customers only every few seconds.
 */
class SilentOwners
{
public:
  /** Returns whether the owner counts as unreachable from now on. */
  bool OnTimeout(const HostId& aOwner, TimePoint aNow);

  /** Returns whether the owner counted as unreachable until now. */
  bool OnHeard(const HostId& aOwner);

  /** Since when the owner is unreachable; empty if it is not. */
  std::optional<TimePoint> UnreachableSince(const HostId& aOwner) const;

private:
  struct Silence
  {
    unsigned timeouts = 0;
    TimePoint since;
  };

  std::map<HostId, Silence> silences_;
};

} // namespace lacewing

#endif // QUOTA_SILENTOWNERS_H
