// A machine is added whose seeds are stale; it finds some hosts in the store.
#include "TenantLoad.h"

#include <cstdlib>

using namespace lab;

namespace {

// The added machine is front-15: whether it takes itself for the owner of the
// tenant depends on the names.
constexpr int kBefore = 5;
constexpr int kAdded = 1;
constexpr double kSettled = 6;
// hot_tenant lasts 6.5 s at most.
constexpr double kMeasured = 6.4;

std::string IpOf(int aNumber)
{
  return "127.0.8." + std::to_string(aNumber);
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
  Store store({ "127.0.0.1", FreePort("127.0.0.1") });
  store.Put("config", "main", limit.Configuration());
  const auto servers = StartServers(store);
  const int basePort = FreeBase(IpOf(10));
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < kBefore + kAdded; ++i) {
    const bool added = i >= kBefore;
    Host::Options options;
    options.name = "front-" + std::to_string(10 + i);
    options.ip = IpOf(10 + i);
    options.basePort = basePort;
    options.store = store.Where();
    options.bounds = Limit::Bounds();
    options.seeds = { IpOf(10), IpOf(11), IpOf(12) };
    if (added && trouble) {
      // Machines that are gone.
      options.seeds = { IpOf(7), IpOf(8), IpOf(9) };
    }
    hosts.push_back(std::make_unique<Host>(folder, options));
    if (i == kBefore) {
      for (int each = 0; each < kBefore; ++each) {
        if (!hosts[static_cast<std::size_t>(each)]->AwaitReady(15)) {
          return 2;
        }
      }
      SleepFor(kSettled);
      Record::Line("a machine is added");
    }
    hosts.back()->Start(!added);
  }
  for (const auto& host : hosts) {
    if (!host->AwaitReady(15)) {
      Record::Line("a host is not ready");
      return 2;
    }
  }
  SleepFor(kSettled);
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
