#ifndef FLEET_ROLLOUTDATAGRAMS_H
#define FLEET_ROLLOUTDATAGRAMS_H

#include "fleet/PeerHeartbeat.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lacewing {

/** A datagram up to this size fits a packet of 1,500 bytes. */
constexpr std::size_t kMaxDatagram = 1400;

/**
 * Encodes aBase with the evidence and the directives, divided among as many
 * datagrams as keep each below kMaxDatagram. One that exceeds it with a single
 * entry, because of a long name, is sent as it is. Empty without any entry.
 */
std::vector<std::string> EncodeRollouts(
  PeerHeartbeat aBase,
  const std::vector<RolloutEvidence>& aEvidence,
  const std::vector<RolloutDirective>& aDirectives);

} // namespace lacewing

#endif // FLEET_ROLLOUTDATAGRAMS_H
