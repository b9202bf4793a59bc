#include "config/ConfigCheck.h"

#include <string>
#include <unordered_set>

namespace lacewing {

namespace {

auto Inconsistent(const std::string& aWhat, const char* aRemedy)
{
  return Fail(ErrorKind::kInvalidMessage, aWhat, aRemedy);
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
  std::unordered_set<std::string> ids;
  std::unordered_set<std::string> addresses;
  for (const auto& [id, service] : aConfiguration.services) {
    if (service->coldLimit > service->slots) {
      return Inconsistent("service " + id.value() +
                            " has a cold-start limit above its slots",
                          "lower the limit or raise the slots");
    }
    for (const TargetConfig& target : service->targets) {
      const std::string subject =
        "target " + target.id.value() + " of service " + id.value();
      if (!known(target.zone)) {
        return Inconsistent(subject + " is in the unknown zone " +
                              target.zone.value(),
                            "add the zone or move the target");
      }
      if (!ids.insert(target.id.value()).second) {
        return Inconsistent(subject + " has an id that is already taken",
                            "give each target an id of its own");
      }
      if (!addresses.insert(target.endpoint.ToString()).second) {
        return Inconsistent(subject + " has the address of another target",
                            "give each target an address of its own");
      }
    }
  }
  return outcome::success();
}

} // namespace lacewing
