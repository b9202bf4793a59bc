#ifndef WIRE_GRANTMESSAGE_H
#define WIRE_GRANTMESSAGE_H

#include "wire/GrantEntry.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** Gives grants. */
struct GrantMessage
{
  static constexpr const char* kKind = "grant";

  std::vector<GrantEntry> grants;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "grants", &GrantMessage::grants });
  }
};

} // namespace lacewing

#endif // WIRE_GRANTMESSAGE_H
