#ifndef STANDIN_LINKFAULTS_H
#define STANDIN_LINKFAULTS_H

#include "core/JsonProperty.h"

#include <array>
#include <cstdint>

namespace lacewing {

/** Faults of one direction of a relayed address. */
struct LinkFaults
{
  Duration latency{};
  /** Bytes a second; zero for no limit. */
  ByteCount bandwidth;
  /**
   * Bytes that each connection still carries, counted from the moment this is
   * set, before both of its sides are closed; zero for no limit.
   */
  ByteCount truncateAfter;
  /** Nothing is carried, and the connections stay open. */
  bool stall = false;
};

inline constexpr std::array<JsonProperty<LinkFaults>, 4> kLinkFaults{ {
  { "latency_ms", &LinkFaults::latency },
  { "bandwidth_bytes_per_s", &LinkFaults::bandwidth },
  { "truncate_after", &LinkFaults::truncateAfter },
  { "stall", &LinkFaults::stall },
} };

} // namespace lacewing

#endif // STANDIN_LINKFAULTS_H
