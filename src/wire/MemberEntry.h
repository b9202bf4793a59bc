#ifndef WIRE_MEMBERENTRY_H
#define WIRE_MEMBERENTRY_H

#include "lacewing/HostId.h"
#include "lacewing/Incarnation.h"
#include "lacewing/ZoneId.h"
#include "wire/MemberState.h"
#include "wire/WireMember.h"

#include <string>
#include <tuple>

namespace lacewing {

/** What the sender knows of one host. */
struct MemberEntry
{
  HostId host;
  /** IPv4 address without a port. */
  std::string address;
  ZoneId zone;
  Incarnation incarnation;
  MemberState state = MemberState::kLive;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "host", &MemberEntry::host },
      WireMember{ "address", &MemberEntry::address },
      WireMember{ "zone", &MemberEntry::zone },
      WireMember{ "incarnation", &MemberEntry::incarnation },
      WireMember{ "state", &MemberEntry::state });
  }
};

} // namespace lacewing

#endif // WIRE_MEMBERENTRY_H
