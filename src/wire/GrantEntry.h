#ifndef WIRE_GRANTENTRY_H
#define WIRE_GRANTENTRY_H

#include "lacewing/Clock.h"
#include "lacewing/Epoch.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"
#include "wire/SentTime.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/**
 * Permission to have slots requests in progress at a target until remaining
 * has passed since sent. It adds to earlier grants. Asker, target and sent
 * together identify it.
 */
struct GrantEntry
{
  TargetId target;
  Epoch epoch;
  SlotCount slots;
  Duration remaining{ 0 };
  /** Echoed from the GrantWantEntry. */
  SentTime sent;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "target", &GrantEntry::target },
                           WireMember{ "epoch", &GrantEntry::epoch },
                           WireMember{ "slots", &GrantEntry::slots },
                           WireMember{ "remaining_us", &GrantEntry::remaining },
                           WireMember{ "sent", &GrantEntry::sent });
  }
};

} // namespace lacewing

#endif // WIRE_GRANTENTRY_H
