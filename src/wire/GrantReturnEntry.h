#ifndef WIRE_GRANTRETURNENTRY_H
#define WIRE_GRANTRETURNENTRY_H

#include "lacewing/Epoch.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"
#include "wire/SentTime.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/**
 * Gives back slots of the grant that sent identifies. No request that was
 * sent under them is in progress any more.
 */
struct GrantReturnEntry
{
  TargetId target;
  Epoch epoch;
  SlotCount slots;
  SentTime sent;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "target", &GrantReturnEntry::target },
                           WireMember{ "epoch", &GrantReturnEntry::epoch },
                           WireMember{ "slots", &GrantReturnEntry::slots },
                           WireMember{ "sent", &GrantReturnEntry::sent });
  }
};

} // namespace lacewing

#endif // WIRE_GRANTRETURNENTRY_H
