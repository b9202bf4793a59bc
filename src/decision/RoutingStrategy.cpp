#include "decision/RoutingStrategyPriv.h"

namespace lacewing {

namespace {

struct NamedStrategy
{
  const char* name;
  std::unique_ptr<RoutingStrategy> (*make)();
};

constexpr NamedStrategy kStrategies[] = {
  { "round-robin", &MakeRoundRobinStrategy },
  { "random", &MakeRandomStrategy },
  { "least-in-flight", &MakeLeastInFlightStrategy },
  { "two-choices-reported", &MakeTwoChoicesReportedStrategy },
  { "two-choices-aged", &MakeTwoChoicesAgedStrategy },
  { "probe-pool", &MakeProbePoolStrategy },
  { "zone-slots", &MakeZoneSlotsStrategy },
};

} // namespace

Outcome<std::unique_ptr<RoutingStrategy>> MakeRoutingStrategy(
  const std::string& aName)
{
  std::string names;
  for (const NamedStrategy& strategy : kStrategies) {
    if (aName == strategy.name) {
      return strategy.make();
    }
    names += names.empty() ? "" : ", ";
    names += strategy.name;
  }
  return Fail(ErrorKind::kInvalidArgument,
              "unknown routing strategy \"" + aName + "\"",
              "use one of " + names);
}

std::vector<std::string> RoutingStrategyNames()
{
  std::vector<std::string> names;
  for (const NamedStrategy& strategy : kStrategies) {
    names.emplace_back(strategy.name);
  }
  return names;
}

} // namespace lacewing
