#ifndef WIRE_TARGETREPORTENTRY_H
#define WIRE_TARGETREPORTENTRY_H

#include "lacewing/Clock.h"
#include "lacewing/Epoch.h"
#include "lacewing/InstanceId.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"
#include "wire/WireMember.h"

#include <cstdint>
#include <tuple>

namespace lacewing {

/** What one entry host saw of a target since its last report. */
struct TargetReportEntry
{
  TargetId target;
  /** Epoch of the phase that the sender knew, so that an old sign of coldness
   * starts no further epoch. */
  Epoch epoch;
  /** Empty when the target does not name its instance. */
  InstanceId instance;
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;
  SlotCount inFlight;
  /** Requests that wait for a grant. */
  SlotCount wanted;
  /** Moving average; zero when none. */
  Duration latency{ 0 };
  bool looksCold = false;
  bool draining = false;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "target", &TargetReportEntry::target },
      WireMember{ "epoch", &TargetReportEntry::epoch },
      WireMember{ "instance", &TargetReportEntry::instance },
      WireMember{ "answered", &TargetReportEntry::answered },
      WireMember{ "failed", &TargetReportEntry::failed },
      WireMember{ "in_flight", &TargetReportEntry::inFlight },
      WireMember{ "wanted", &TargetReportEntry::wanted },
      WireMember{ "latency_us", &TargetReportEntry::latency },
      WireMember{ "looks_cold", &TargetReportEntry::looksCold },
      WireMember{ "draining", &TargetReportEntry::draining });
  }
};

} // namespace lacewing

#endif // WIRE_TARGETREPORTENTRY_H
