#include "config/ConfigDiff.h"
#include "config/RemovalGuard.h"
#include "support/ConfigGenerators.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

/** One service with targets t0, t1, ... that alternate between two zones. */
Configuration WithTargets(int aCount)
{
  Configuration configuration;
  for (const char* name : { "arada", "bole" }) {
    const ZoneId id(name);
    configuration.zones[id] = { id, Lifecycle::kInService };
  }
  ServiceConfig service;
  service.id = ServiceId("ledger");
  for (int i = 0; i < aCount; ++i) {
    service.targets.push_back(
      { TargetId("t" + std::to_string(i)),
        { "127.0.0.1", static_cast<std::uint16_t>(9000 + i) },
        ZoneId(i % 2 == 0 ? "arada" : "bole"),
        Lifecycle::kInService });
  }
  configuration.services[service.id] =
    std::make_shared<const ServiceConfig>(service);
  return configuration;
}

template<class Change>
Configuration Changed(const Configuration& aConfiguration, Change aChange)
{
  Configuration result = aConfiguration;
  ServiceConfig service = *result.services.at(ServiceId("ledger"));
  aChange(service);
  result.services[service.id] = std::make_shared<const ServiceConfig>(service);
  return result;
}

std::string Printed(const Configuration& aBefore, const Configuration& aAfter)
{
  std::string text;
  for (const ConfigChange& change : DiffConfigurations(aBefore, aAfter)) {
    text += change.ToString() + "\n";
  }
  return text;
}

} // namespace

// Guards against a plan that hides a change or shows one that is none.
TEST_CASE("changes are printed in plain words with old and new value")
{
  const Configuration before = WithTargets(3);
  CHECK(Printed(before, before).empty());
  Configuration after = Changed(before, [](ServiceConfig& aService) {
    aService.deadline = std::chrono::milliseconds(250);
    aService.idempotentMethods.clear();
    aService.targets[0].lifecycle = Lifecycle::kOut;
    aService.targets[2].id = TargetId("t9");
  });
  after.zones[ZoneId("kirkos")] = { ZoneId("kirkos"), Lifecycle::kJoining };
  after.hosts[HostId("h1")] = { HostId("h1"),
                                ZoneId("bole"),
                                Lifecycle::kInService };
  CHECK(Printed(before, after) ==
        "zone kirkos: added: state joining\n"
        "host h1: added: zone bole, state in-service\n"
        "service ledger: changed: idempotent methods from GET HEAD OPTIONS to "
        "none, deadline from 10 s to 250 ms\n"
        "target t0: changed: state from in-service to out\n"
        "target t2: removed: service was ledger, zone was arada, address was "
        "127.0.0.1:9002, state was in-service\n"
        "target t9: added: service ledger, zone arada, address "
        "127.0.0.1:9002, state in-service\n");
}

// Guards against a sheet that was cut short, or exported from the wrong
// filter, taking a service down.
TEST_CASE("a plan that takes away too many targets is refused")
{
  const Configuration before = WithTargets(8);
  const auto without = [&](int aCount) {
    return Changed(before, [&](ServiceConfig& aService) {
      aService.targets.resize(aService.targets.size() - aCount);
    });
  };
  CHECK(CheckRemoval(before, without(2), kDefaultMaxRemoval).has_value());
  const auto refused = CheckRemoval(before, without(3), kDefaultMaxRemoval);
  REQUIRE(refused.has_error());
  CHECK(refused.error().kind == ErrorKind::kRefused);
  CHECK(refused.error().what.find("ledger would lose 3 of 8") !=
        std::string::npos);
  CHECK(!CheckRemoval(before, Configuration(), kDefaultMaxRemoval).has_value());

  const Configuration leaving = Changed(before, [](ServiceConfig& aService) {
    for (int i = 0; i < 3; ++i) {
      aService.targets[i].lifecycle = Lifecycle::kLeaving;
    }
  });
  CHECK(!CheckRemoval(before, leaving, kDefaultMaxRemoval).has_value());
  CHECK(CheckRemoval(leaving, leaving, kDefaultMaxRemoval).has_value());

  Configuration zoneOut = before;
  zoneOut.zones[ZoneId("bole")].lifecycle = Lifecycle::kOut;
  CHECK(!CheckRemoval(before, zoneOut, kDefaultMaxRemoval).has_value());
  CHECK(CheckRemoval(before, zoneOut, kAllButOne).has_value());
  Configuration allOut = zoneOut;
  allOut.zones[ZoneId("arada")].lifecycle = Lifecycle::kOut;
  CHECK(!CheckRemoval(before, allOut, kAllButOne).has_value());
}

// Guards against a difference that depends on the direction of comparison.
TEST_CASE("the difference of random configurations is symmetric")
{
  CHECK(rc::check([] {
    const Configuration left = AnyConfiguration();
    const Configuration right = AnyConfiguration();
    const auto there = DiffConfigurations(left, right);
    const auto back = DiffConfigurations(right, left);
    RC_ASSERT(there.size() == back.size());
    for (std::size_t i = 0; i < there.size(); ++i) {
      RC_ASSERT(there[i].id == back[i].id);
      RC_ASSERT(there[i].fields.size() == back[i].fields.size());
    }
    RC_ASSERT(DiffConfigurations(left, left).empty());
  }));
}
