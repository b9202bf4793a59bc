#ifndef WIRE_GRANTENTRY_H
#define WIRE_GRANTENTRY_H

#include "decision/GrantId.h"
#include "lacewing/Clock.h"
#include "lacewing/Epoch.h"
#include "lacewing/HostId.h"
#include "lacewing/Incarnation.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/** Gives slots of a target that is not warm; see Grant. */
struct GrantEntry
{
  /** Replaces every grant of the target with a lower id. */
  GrantId id;
  /** Host of the asker, also when another host passes the message on. */
  HostId host;
  /** Run of the asking entryd. */
  Incarnation incarnation;
  TargetId target;
  Epoch epoch;
  SlotCount slots;
  /** Echoed from the GrantWantEntry. */
  Duration sent{ 0 };
  /** Allows sends from sent on for this time, less the margin. */
  Duration time{ 0 };

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "id", &GrantEntry::id },
      WireMember{ "host", &GrantEntry::host },
      WireMember{ "incarnation", &GrantEntry::incarnation },
      WireMember{ "target", &GrantEntry::target },
      WireMember{ "epoch", &GrantEntry::epoch },
      WireMember{ "slots", &GrantEntry::slots },
      WireMember{ "sent_us", &GrantEntry::sent },
      WireMember{ "time_us", &GrantEntry::time });
  }
};

} // namespace lacewing

#endif // WIRE_GRANTENTRY_H
