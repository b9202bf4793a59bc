#include "config/ConfigCheck.h"

#include <arpa/inet.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>

namespace lacewing {

namespace {

auto Inconsistent(const std::string& aWhat, const char* aRemedy)
{
  return Fail(ErrorKind::kInvalidMessage, aWhat, aRemedy);
}

/** The endpoint as one number; Endpoint holds IPv4 addresses only. */
std::uint64_t NumberOf(const Endpoint& aEndpoint)
{
  in_addr address{};
  inet_pton(AF_INET, aEndpoint.address.c_str(), &address);
  constexpr unsigned kPortBits = 16;
  return (std::uint64_t{ address.s_addr } << kPortBits) | aEndpoint.port;
}

std::size_t CountTargets(const Configuration& aConfiguration)
{
  std::size_t count = 0;
  for (const auto& [id, service] : aConfiguration.services) {
    count += service->targets.size();
  }
  return count;
}

} // namespace

Outcome<void> CheckConfiguration(const Configuration& aConfiguration)
{
  const auto known = [&](const ZoneId& aZone) {
    return aConfiguration.zones.count(aZone) != 0;
  };
  for (const auto& [id, host] : aConfiguration.hosts) {
    if (!known(host.zone)) {
      return Inconsistent("host " + id.value() + " is in the unknown zone " +
                            host.zone.value(),
                          "add the zone or move the host");
    }
  }
  // Runs on every host for every change, over all targets.
  const std::size_t targets = CountTargets(aConfiguration);
  std::unordered_set<std::string_view> ids;
  std::unordered_set<std::uint64_t> addresses;
  ids.reserve(targets);
  addresses.reserve(targets);
  for (const auto& [id, service] : aConfiguration.services) {
    if (service->coldLimit > service->slots) {
      return Inconsistent("service " + id.value() +
                            " has a cold-start limit above its slots",
                          "lower the limit or raise the slots");
    }
    for (const TargetConfig& target : service->targets) {
      const auto subject = [&target, serviceId = &id] {
        return "target " + target.id.value() + " of service " +
               serviceId->value();
      };
      if (!known(target.zone)) {
        return Inconsistent(subject() + " is in the unknown zone " +
                              target.zone.value(),
                            "add the zone or move the target");
      }
      if (!ids.insert(target.id.value()).second) {
        return Inconsistent(subject() + " has an id that is already taken",
                            "give each target an id of its own");
      }
      if (!addresses.insert(NumberOf(target.endpoint)).second) {
        return Inconsistent(subject() + " has the address of another target",
                            "give each target an address of its own");
      }
    }
  }
  return outcome::success();
}

} // namespace lacewing
