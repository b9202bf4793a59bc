#ifndef CONTROL_CONTROLTERMS_H
#define CONTROL_CONTROLTERMS_H

#include "lacewing/Clock.h"

#include <cstddef>

namespace lacewing {

/** Times and bounds of the control daemon. */
struct ControlTerms
{
  Duration heartbeatPeriod = std::chrono::milliseconds(500);
  /** Silence after which a peer is suspected: four heartbeats. */
  Duration suspectTime = std::chrono::seconds(2);
  /** Silence after which a peer counts as gone. */
  Duration goneTime = std::chrono::seconds(6);
  /** How long a gone host that is not listed is remembered. */
  Duration forgetTime = std::chrono::seconds(60);
  /** Period in which one gone host that is still listed is tried again. */
  Duration retryGoneTime = std::chrono::seconds(1);
  /** Hosts up to which every pair of controlds is connected. */
  std::size_t fullMeshHosts = 20;
  /** Controlds of each availability zone that watch the store. */
  unsigned watchersPerZone = 2;
  /** Silence of all peers after which a controld watches by itself. */
  Duration isolatedTime = std::chrono::seconds(2);
  /** Longest wait of one watch of the head. */
  std::chrono::milliseconds watchWait{ 20000 };
  /** Period in which a controld that does not watch reads the head. */
  Duration slowPollTime = std::chrono::seconds(30);
  /** Period of reading the host list, for watchers and for others. */
  Duration hostListTime = std::chrono::seconds(5);
  Duration slowHostListTime = std::chrono::seconds(60);
  /** Time for a peer to send a configuration that it was asked for. */
  Duration configWantTime = std::chrono::seconds(2);
  /** Time after the start in which peers can appear before leases are taken. */
  Duration settleTime = std::chrono::seconds(2);
  /** Period of the timers of leases, phases and grants. */
  Duration tick = std::chrono::milliseconds(20);
  /** Longest wait for the release of leases at a planned stop. */
  Duration stopTime = std::chrono::seconds(2);
};

} // namespace lacewing

#endif // CONTROL_CONTROLTERMS_H
