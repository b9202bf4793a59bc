#ifndef WIRE_TARGETREPORTMESSAGE_H
#define WIRE_TARGETREPORTMESSAGE_H

#include "wire/TargetReportEntry.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** Observations of an entry host, sent each 100 ms if there are any. */
struct TargetReportMessage
{
  static constexpr const char* kKind = "target_report";

  std::vector<TargetReportEntry> targets;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "targets", &TargetReportMessage::targets });
  }
};

} // namespace lacewing

#endif // WIRE_TARGETREPORTMESSAGE_H
