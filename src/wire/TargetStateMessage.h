#ifndef WIRE_TARGETSTATEMESSAGE_H
#define WIRE_TARGETSTATEMESSAGE_H

#include "wire/TargetStateEntry.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** Phases of targets that changed. */
struct TargetStateMessage
{
  static constexpr const char* kKind = "target_state";

  std::vector<TargetStateEntry> targets;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "targets", &TargetStateMessage::targets });
  }
};

} // namespace lacewing

#endif // WIRE_TARGETSTATEMESSAGE_H
