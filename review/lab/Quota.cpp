// A tenant sends more than its limit while hosts are killed and start again.
#include "TenantLoad.h"

#include <csignal>
#include <cstdlib>

using namespace lab;

namespace {

constexpr int kHosts = 6;
constexpr std::size_t kKilled = 2;
constexpr int kKills = 3;
constexpr double kKillPeriod = 1.9;
constexpr double kRestartAfter = 0.75;

/** The host whose log says that it owns the tenant's limit. */
int OwnerOf(const std::vector<std::unique_ptr<Host>>& aHosts)
{
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    if (HasLine(aHosts[i]->Log(), { "event=allowance", "owned=1" })) {
      return static_cast<int>(i);
    }
  }
  return -1;
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
  std::vector<std::unique_ptr<Host>> hosts;
  const int basePort = FreeBase("127.0.3.10");
  for (int i = 0; i < kHosts; ++i) {
    Host::Options options;
    options.name = "h" + std::to_string(i);
    options.ip = "127.0.3." + std::to_string(10 + i);
    options.zone = i % 2 == 0 ? "z1" : "z2";
    options.zones = { "z1", "z2" };
    options.basePort = basePort;
    options.seeds = { "127.0.3.10", "127.0.3.11", "127.0.3.12" };
    options.store = store.Where();
    options.bounds = Limit::Bounds();
    hosts.push_back(std::make_unique<Host>(folder, options));
    hosts.back()->Start(true);
  }
  for (const auto& host : hosts) {
    if (!host->AwaitReady(15)) {
      Record::Line("a host is not ready");
      return 2;
    }
  }
  SleepFor(4);
  Record::Line("the tenant begins to send");
  std::vector<Sent> all;
  {
    const Balancer balancer(hosts);
    Tenant tenant(balancer, limit);
    SleepFor(0.3);
    const int owner = OwnerOf(hosts);
    Record::Line("the tenant's owner is h" + std::to_string(owner));
    // herd_kill of a third; the platform starts the processes again. hot_tenant
    // lasts 6.5 s at most.
    for (int round = 0; trouble && round < kKills; ++round) {
      std::vector<Host*> killed;
      for (int i = 0; i < kHosts && killed.size() < kKilled; ++i) {
        if (i != owner) {
          killed.push_back(hosts[static_cast<std::size_t>(i)].get());
        }
      }
      for (Host* host : killed) {
        host->Signal(SIGKILL);
      }
      for (Host* host : killed) {
        host->WaitEnd(1);
      }
      SleepFor(kRestartAfter);
      for (Host* host : killed) {
        host->Start(false);
      }
      SleepFor(kKillPeriod - kRestartAfter);
    }
    SleepFor(trouble ? 0.4 : 6.1);
    all = tenant.End();
  }
  const bool broken = IsExceeded(limit, std::move(all), servers);
  hosts.clear();
  return broken ? 1 : 0;
}
