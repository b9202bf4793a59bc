// A host whose seeds are gone has to find the others in the store, where hosts
// that are gone have left more objects than one list has.
#include "TenantLoad.h"

#include <csignal>
#include <cstdlib>

using namespace lab;

namespace {

// The page of the store in the site files under sites/.
constexpr std::size_t kPage = 50;
constexpr int kGone = 60;
constexpr int kGoneAtOnce = 20;
constexpr int kHosts = 5;
// A host that hears nobody for this long takes itself for the only one.
constexpr double kAlone = 31;
// hot_tenant lasts 6.5 s at most.
constexpr double kMeasured = 6.4;

std::string IpOf(int aNumber)
{
  return "127.0.6." + std::to_string(aNumber);
}

/** Machines are numbered in the order in which they came. */
Host::Options OptionsOf(int aNumber, int aBasePort, const Store& aStore)
{
  Host::Options options;
  options.name = "front-" + std::to_string(aNumber);
  options.ip = IpOf(aNumber);
  options.basePort = aBasePort;
  options.store = aStore.Where();
  options.bounds = Limit::Bounds();
  return options;
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount < 4) {
    return 2;
  }
  const std::string folder = aArguments[2];
  Record::Open(aArguments[1]);
  const bool trouble = std::atoi(aArguments[3]) != 0;
  const Limit limit;
  Store store({ "127.0.0.1", FreePort("127.0.0.1") }, kPage);
  store.Put("config", "main", limit.Configuration());
  const auto servers = StartServers(store);
  const int basePort = FreeBase(IpOf(100));
  // Machines that are removed for good; each had entered itself in the store.
  int number = 100;
  while (number < 100 + kGone) {
    std::vector<std::unique_ptr<Host>> gone;
    for (int i = 0; i < kGoneAtOnce; ++i, ++number) {
      Host::Options options = OptionsOf(number, basePort, store);
      options.seeds = { IpOf(99) };
      gone.push_back(std::make_unique<Host>(folder, options));
      gone.back()->Start(false);
    }
    const std::size_t expected = static_cast<std::size_t>(number - 100);
    const double until = Now() + 8;
    while (store.Count("lacewing-hosts") < expected && Now() < until) {
      SleepFor(0.05);
    }
  }
  Record::Line(std::to_string(store.Count("lacewing-hosts")) +
               " objects of hosts that are gone are in the store");
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < kHosts; ++i, ++number) {
    Host::Options options = OptionsOf(number, basePort, store);
    const int seed = 100 + kGone;
    options.seeds = { IpOf(seed), IpOf(seed + 1), IpOf(seed + 2) };
    if (trouble && i == kHosts - 1) {
      // The seeds of this one are stale.
      options.seeds = { IpOf(97), IpOf(98), IpOf(99) };
    }
    hosts.push_back(std::make_unique<Host>(folder, options));
    hosts.back()->Start(false);
  }
  for (const auto& host : hosts) {
    if (!host->AwaitReady(15)) {
      Record::Line("a host is not ready");
      return 2;
    }
  }
  SleepFor(kAlone);
  Record::Line("the tenant begins to send");
  std::vector<Sent> sent;
  {
    const Balancer balancer(hosts);
    Tenant tenant(balancer, limit);
    SleepFor(kMeasured);
    sent = tenant.End();
  }
  const bool broken = IsExceeded(limit, std::move(sent), servers);
  hosts.clear();
  return broken ? 1 : 0;
}
