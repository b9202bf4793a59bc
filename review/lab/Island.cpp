// Machines are added whose seeds are other machines that are added with them.
#include "TenantLoad.h"

#include <cstdlib>

using namespace lab;

namespace {

constexpr int kBefore = 4;
constexpr int kAdded = 2;
constexpr double kSettled = 6;
// hot_tenant lasts 6.5 s at most.
constexpr double kMeasured = 6.4;

std::string IpOf(int aNumber)
{
  return "127.0.7." + std::to_string(aNumber);
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
      // One machine that is gone and those that are added as well.
      options.seeds = { IpOf(9), IpOf(10 + kBefore), IpOf(11 + kBefore) };
    }
    hosts.push_back(std::make_unique<Host>(folder, options));
    if (i == kBefore) {
      for (int each = 0; each < kBefore; ++each) {
        if (!hosts[static_cast<std::size_t>(each)]->AwaitReady(15)) {
          return 2;
        }
      }
      SleepFor(kSettled);
      Record::Line("machines are added");
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
