#include "fleet/WireReading.h"

#include <algorithm>

namespace lacewing {

WireReading WireReading::From(const LoadReading& aReading, TimePoint aNow)
{
  WireReading wire;
  wire.target = aReading.target;
  wire.state = static_cast<std::uint32_t>(aReading.state);
  if (aReading.load) {
    wire.running = aReading.load->running;
    wire.waiting = aReading.load->waiting;
    wire.slots = aReading.load->slots;
    wire.slowdownPercent = aReading.load->slowdownPercent;
  }
  wire.coldLeft = aReading.coldLeft;
  wire.age = std::max(aNow - aReading.measuredAt, Duration(0));
  return wire;
}

LoadReading WireReading::ToReading(TimePoint aNow) const
{
  LoadReading reading;
  reading.target = target;
  // A state that only a newer release knows counts as not serving.
  reading.state = static_cast<ReadingState>(std::min<std::uint32_t>(
    state, static_cast<std::uint32_t>(ReadingState::kUnresponsive)));
  if (slots > 0) {
    reading.load = TargetLoad{ running, waiting, slots, slowdownPercent };
  }
  reading.coldLeft = coldLeft;
  reading.measuredAt = aNow - std::max(age, Duration(0));
  reading.probedAt = reading.measuredAt;
  return reading;
}

} // namespace lacewing
