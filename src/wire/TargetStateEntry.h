#ifndef WIRE_TARGETSTATEENTRY_H
#define WIRE_TARGETSTATEENTRY_H

#include "decision/TargetPhase.h"
#include "lacewing/Epoch.h"
#include "lacewing/TargetId.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/** The phase of one target. */
struct TargetStateEntry
{
  TargetId target;
  /** The higher epoch wins, and within an epoch the later phase. */
  Epoch epoch;
  TargetPhase phase = TargetPhase::kCold;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "target", &TargetStateEntry::target },
                           WireMember{ "epoch", &TargetStateEntry::epoch },
                           WireMember{ "phase", &TargetStateEntry::phase });
  }
};

} // namespace lacewing

#endif // WIRE_TARGETSTATEENTRY_H
