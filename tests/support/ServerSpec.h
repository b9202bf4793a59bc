#ifndef TESTS_SUPPORT_SERVERSPEC_H
#define TESTS_SUPPORT_SERVERSPEC_H

#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"
#include "lacewing/ServiceId.h"
#include "lacewing/TargetId.h"
#include "lacewing/ZoneId.h"

#include <cstddef>

namespace lacewing {

/** What a stand-in server of the platform is. */
struct ServerSpec
{
  TargetId id;
  ServiceId service;
  ZoneId zone;
  Endpoint listen;
  std::size_t slots = 6;
  /** Requests that may wait for a slot before others are shed. */
  std::size_t queueCapacity = 6;
  Duration workTime = std::chrono::milliseconds(20);
  /** Without it answers carry no load, and a full server refuses health
   * questions. */
  bool reportsLoad = true;
  /** How long the server stays cold after its start. */
  Duration coldTime{};
};

} // namespace lacewing

#endif // TESTS_SUPPORT_SERVERSPEC_H
