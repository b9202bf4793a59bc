#ifndef WIRE_MEMBERSMESSAGE_H
#define WIRE_MEMBERSMESSAGE_H

#include "wire/MemberEntry.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** Hosts whose state changed, or all when two views differ. */
struct MembersMessage
{
  static constexpr const char* kKind = "members";

  std::vector<MemberEntry> members;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "members", &MembersMessage::members });
  }
};

} // namespace lacewing

#endif // WIRE_MEMBERSMESSAGE_H
