#ifndef WIRE_GRANTRETURNMESSAGE_H
#define WIRE_GRANTRETURNMESSAGE_H

#include "wire/GrantReturnEntry.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** Gives grants back. */
struct GrantReturnMessage
{
  static constexpr const char* kKind = "grant_return";

  std::vector<GrantReturnEntry> grants;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "grants", &GrantReturnMessage::grants });
  }
};

} // namespace lacewing

#endif // WIRE_GRANTRETURNMESSAGE_H
