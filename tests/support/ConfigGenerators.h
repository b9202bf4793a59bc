#ifndef TESTS_SUPPORT_CONFIGGENERATORS_H
#define TESTS_SUPPORT_CONFIGGENERATORS_H

#include "config/Configuration.h"

#include <rapidcheck.h>

#include <string>

namespace lacewing {

inline Lifecycle AnyLifecycle()
{
  return *rc::gen::element(Lifecycle::kJoining,
                           Lifecycle::kInService,
                           Lifecycle::kLeaving,
                           Lifecycle::kOut);
}

/** A consistent configuration with random settings, zones and targets. */
inline Configuration AnyConfiguration()
{
  Configuration configuration;
  const int zones = *rc::gen::inRange(1, 5);
  for (int i = 0; i < zones; ++i) {
    const ZoneId id("zone-" + std::to_string(i));
    configuration.zones[id] = { id, AnyLifecycle() };
  }
  const auto zone = [zones] {
    return ZoneId("zone-" + std::to_string(*rc::gen::inRange(0, zones)));
  };
  const int hosts = *rc::gen::inRange(0, 6);
  for (int i = 0; i < hosts; ++i) {
    const HostId id("host-" + std::to_string(i));
    configuration.hosts[id] = { id, zone(), AnyLifecycle() };
  }
  const int services = *rc::gen::inRange(0, 4);
  std::uint16_t port = 1000;
  for (int i = 0; i < services; ++i) {
    ServiceConfig service;
    service.id = ServiceId("service-" + std::to_string(i));
    service.slots = SlotCount(*rc::gen::inRange(1, 4096));
    service.coldLimit =
      SlotCount(*rc::gen::inRange<std::uint32_t>(1, service.slots.value() + 1));
    service.connections = ConnectionCount(*rc::gen::inRange(1, 100'000));
    service.deadline =
      std::chrono::milliseconds(*rc::gen::inRange(1, 3'600'000));
    service.measuringBudget = BasisPoints(*rc::gen::inRange(0, 10'001));
    service.coldTime =
      std::chrono::milliseconds(*rc::gen::inRange(0, 3'600'000));
    service.rampTime =
      std::chrono::milliseconds(*rc::gen::inRange(0, 3'600'000));
    service.idempotentMethods =
      *rc::gen::container<std::set<std::string>>(rc::gen::element<std::string>(
        "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "PROPFIND"));
    const int targets = *rc::gen::inRange(0, 8);
    for (int j = 0; j < targets; ++j) {
      service.targets.push_back(
        { TargetId(service.id.value() + "." + std::to_string(j)),
          { "127.0.0.1", ++port },
          zone(),
          AnyLifecycle() });
    }
    const ServiceId id = service.id;
    configuration.services[id] =
      std::make_shared<const ServiceConfig>(std::move(service));
  }
  return configuration;
}

} // namespace lacewing

#endif // TESTS_SUPPORT_CONFIGGENERATORS_H
