#ifndef TESTS_SUPPORT_CONTROLCLUSTER_H
#define TESTS_SUPPORT_CONTROLCLUSTER_H

#include "control/ControlDaemon.h"
#include "control/ControlState.h"
#include "support/FastClock.h"
#include "support/StoredConfig.h"

#include <map>
#include <memory>
#include <string>

namespace lacewing {

/** Control daemons on 127.0.0.0/8 and a platform, all in one thread. */
class ControlCluster
{
public:
  explicit ControlCluster(int aClockFactor = 1)
    : clock(aClockFactor)
  {
    terms.settleTime = std::chrono::milliseconds(500) * aClockFactor;
    terms.hostListTime = std::chrono::milliseconds(300);
    terms.slowHostListTime = std::chrono::milliseconds(300);
  }

  /** Host "hN" listens on 127.0.0.N. */
  const ControlState& Start(int aNumber)
  {
    const std::string host = "h" + std::to_string(aNumber);
    ControlSettings settings;
    settings.host = HostId(host);
    settings.zone = ZoneId("Bole");
    settings.messages = Address(aNumber);
    settings.admin = { settings.messages.address, 0 };
    settings.platform = platform.Where();
    auto made = ControlDaemon::Make(context, clock, settings, terms);
    REQUIRE_MESSAGE(made.has_value(), (made ? "" : made.error().ToString()));
    daemons[aNumber] = std::move(made).value();
    return daemons[aNumber]->State();
  }

  Endpoint Address(int aNumber) const
  {
    return { "127.0.0." + std::to_string(aNumber), port };
  }

  void List(int aNumber)
  {
    platform.AddHost(
      "h" + std::to_string(aNumber), "Bole", Address(aNumber).address);
  }

  /** Stops a daemon as SIGTERM does. */
  void Stop(int aNumber)
  {
    bool stopped = false;
    daemons.at(aNumber)->Stop([&] { stopped = true; });
    REQUIRE(Until([&] { return stopped; }));
    daemons.erase(aNumber);
  }

  const ControlState& State(int aNumber)
  {
    return daemons.at(aNumber)->State();
  }

  std::size_t HeldLeases()
  {
    std::size_t held = 0;
    for (const auto& [number, daemon] : daemons) {
      held += daemon->State().leases.Held().size();
    }
    return held;
  }

  template<class Condition>
  bool Until(Condition aCondition)
  {
    return RunUntil(context, aCondition);
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    context.restart();
    context.run_for(aTime);
  }

  asio::io_context context;
  FastClock clock;
  TestPlatform platform{ context };
  ControlTerms terms;
  std::uint16_t port = FreePort();
  std::map<int, std::unique_ptr<ControlDaemon>> daemons;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_CONTROLCLUSTER_H
