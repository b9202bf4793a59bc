#ifndef CONTROL_MEMBER_H
#define CONTROL_MEMBER_H

#include "lacewing/Clock.h"
#include "wire/MemberEntry.h"

#include <optional>

namespace lacewing {

/** A host in the MemberTable. */
struct Member
{
  MemberEntry entry;
  /** Whether the platform's list names it; the list lags. */
  bool listed = false;
  /** Whether it or a peer told of it, and not only the list. */
  bool confirmed = false;
  /** When it last sent something itself; empty when it never did. */
  std::optional<TimePoint> lastHeard;
  /** Since when a connection to it is meant to exist. */
  std::optional<TimePoint> expectedSince;
  /** Since when it has been gone. */
  TimePoint goneSince;
};

} // namespace lacewing

#endif // CONTROL_MEMBER_H
