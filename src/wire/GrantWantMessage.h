#ifndef WIRE_GRANTWANTMESSAGE_H
#define WIRE_GRANTWANTMESSAGE_H

#include "wire/GrantWantEntry.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** Asks for grants. */
struct GrantWantMessage
{
  static constexpr const char* kKind = "grant_want";

  std::vector<GrantWantEntry> grants;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "grants", &GrantWantMessage::grants });
  }
};

} // namespace lacewing

#endif // WIRE_GRANTWANTMESSAGE_H
