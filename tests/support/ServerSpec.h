#ifndef TESTS_SUPPORT_SERVERSPEC_H
#define TESTS_SUPPORT_SERVERSPEC_H

#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"
#include "lacewing/ServiceId.h"
#include "lacewing/TargetId.h"
#include "lacewing/ZoneId.h"

#include <cstddef>

namespace lacewing {

/** Identity, capacity and timing of a stand-in server of the platform. */
struct ServerSpec
{
  TargetId id;
  ServiceId service;
  ZoneId zone;
  Endpoint listen;
  /** Requests that may run at the same time. */
  std::size_t slots = 6;
  /** Requests that may wait for a slot; further ones are shed. */
  std::size_t queueCapacity = 6;
  /** How long each request runs. */
  Duration workTime = std::chrono::milliseconds(20);
  /**
   * Whether responses carry the load. If not, a server whose slots are all in
   * use refuses health probes.
   */
  bool reportsLoad = true;
  /** How long the server is cold after its start. */
  Duration coldTime{};
};

} // namespace lacewing

#endif // TESTS_SUPPORT_SERVERSPEC_H
