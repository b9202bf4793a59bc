#ifndef WIRE_GRANTWANTENTRY_H
#define WIRE_GRANTWANTENTRY_H

#include "lacewing/Epoch.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"
#include "wire/SentTime.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/** Asks for slots of a target that is not warm. */
struct GrantWantEntry
{
  TargetId target;
  Epoch epoch;
  /** In addition to the grants held. */
  SlotCount slots;
  SentTime sent;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "target", &GrantWantEntry::target },
                           WireMember{ "epoch", &GrantWantEntry::epoch },
                           WireMember{ "slots", &GrantWantEntry::slots },
                           WireMember{ "sent", &GrantWantEntry::sent });
  }
};

} // namespace lacewing

#endif // WIRE_GRANTWANTENTRY_H
