#ifndef WIRE_GRANTWANTENTRY_H
#define WIRE_GRANTWANTENTRY_H

#include "lacewing/Clock.h"
#include "lacewing/Epoch.h"
#include "lacewing/HostId.h"
#include "lacewing/Incarnation.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/** Asks for slots of a target that is not warm; see GrantWant. */
struct GrantWantEntry
{
  /** Host of the asker, also when another host passes the message on. */
  HostId host;
  /** Run of the asking entryd. */
  Incarnation incarnation;
  TargetId target;
  Epoch epoch;
  /** All slots that the asker can use now, those held included. */
  SlotCount slots;
  /** When it was sent, on the asker's monotonic clock; echoed in the grant. */
  Duration sent{ 0 };

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "host", &GrantWantEntry::host },
      WireMember{ "incarnation", &GrantWantEntry::incarnation },
      WireMember{ "target", &GrantWantEntry::target },
      WireMember{ "epoch", &GrantWantEntry::epoch },
      WireMember{ "slots", &GrantWantEntry::slots },
      WireMember{ "sent_us", &GrantWantEntry::sent });
  }
};

} // namespace lacewing

#endif // WIRE_GRANTWANTENTRY_H
