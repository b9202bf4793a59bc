// A tenant sends more than its limit while hosts are killed and start again.
#include "Lab.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace lab;

namespace {

constexpr double kRate = 150;
constexpr double kBurst = 20;
constexpr double kWindow = 5;
constexpr double kOvershoot = 0.1;
constexpr double kSlack = 20;
// hot_tenant sends 7.5 times the usual rate, and a limit is 1.6 times that.
constexpr double kDemand = kRate / 1.6 * 7.5;
constexpr int kHosts = 6;
constexpr std::size_t kKilled = 2;
constexpr int kKills = 4;
constexpr double kKillPeriod = 1.9;
constexpr int kServers = 6;
constexpr int kWorkers = 64;
// Of the requests of solvendra-gw-grown: the time limit and the retries.
constexpr int kTimeLimitMs = 3000;
constexpr int kRetries = 2;
constexpr double kRestartAfter = 0.75;

struct Sent
{
  double at = 0;
  double answeredAt = 0;
  std::string id;
  std::string host;
  int status = 0;
};

std::string Configuration()
{
  return R"({"version":7,"routes":[{"name":"r1","host":"a.example",)"
         R"("path_prefix":"/u/","kind":"unsafe","timeout_s":1.2,)"
         R"("target_latency_s":0.5,"priority":1,"service":"s1",)"
         R"("max_attempts":2}],"services":[{"name":"s1",)"
         R"("health_path":"/health","max_conns":220,"protocol":"h1",)"
         R"("tls":false,"warmup_s":3.0,"warmup_per_s":10.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
         R"("header_timeout_s":3,"idle_timeout_s":15},"tenants":[{"name":"t1",)"
         R"("api_keys":["k1"],"priority":1,"rate_per_s":)" +
         std::to_string(static_cast<int>(kRate)) + R"(,"burst":)" +
         std::to_string(static_cast<int>(kBurst)) + "}]}";
}

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

/** The platform's balancer: leaves out a host after two misses. */
class Balancer
{
public:
  explicit Balancer(const std::vector<std::unique_ptr<Host>>& aHosts)
    : hosts_(aHosts)
    , misses_(aHosts.size())
  {
    for (auto& misses : misses_) {
      misses = 0;
    }
    thread_ = std::thread([this] {
      while (!stopped_) {
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
          misses_[i] = hosts_[i]->IsReady() ? 0 : misses_[i] + 1;
        }
        SleepFor(1);
      }
    });
  }
  ~Balancer()
  {
    stopped_ = true;
    thread_.join();
  }

  /** The host for a consumer's attempt. */
  const Host& HostFor(std::size_t aHash) const
  {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const std::size_t at = (aHash + i) % hosts_.size();
      if (misses_[at] < 2) {
        return *hosts_[at];
      }
    }
    return *hosts_[aHash % hosts_.size()];
  }

private:
  const std::vector<std::unique_ptr<Host>>& hosts_;
  std::vector<std::atomic<int>> misses_;
  std::atomic<bool> stopped_{ false };
  std::thread thread_;
};

/** The tenant's consumers; refused requests come back a few times. */
class Tenant
{
public:
  explicit Tenant(const Balancer& aBalancer)
    : balancer_(aBalancer)
    , nextRequest_(Now())
  {
    for (int i = 0; i < kWorkers; ++i) {
      workers_.emplace_back([this] { Work(); });
    }
  }

  /** Stops sending; returns all attempts. */
  std::vector<Sent> End()
  {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopped_ = true;
    }
    for (std::thread& worker : workers_) {
      worker.join();
    }
    return sent_;
  }

private:
  struct Attempt
  {
    double until = 0;
    int retriesLeft = kRetries;
    std::size_t consumer = 0;
  };

  /** Takes what is due next; empty at the end. */
  std::optional<std::pair<double, Attempt>> Take()
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) {
      return std::nullopt;
    }
    if (!retries_.empty() && retries_.begin()->first < nextRequest_) {
      const auto first = *retries_.begin();
      retries_.erase(retries_.begin());
      return first;
    }
    Attempt attempt;
    attempt.until = nextRequest_ + kTimeLimitMs / 1000.0;
    attempt.consumer = count_++ * 7;
    const double due = nextRequest_;
    nextRequest_ += 1 / kDemand;
    return std::make_pair(due, attempt);
  }

  void Work()
  {
    while (auto taken = Take()) {
      auto& [due, attempt] = *taken;
      SleepFor(std::max(0.0, due - Now()));
      Sent each;
      each.id = NewId("q");
      const Host& host = balancer_.HostFor(attempt.consumer);
      const double left = attempt.until - Now();
      const Outcome outcome = Send(host.Front(),
                                   RequestBytes("POST",
                                                "a.example",
                                                "/u/x",
                                                each.id,
                                                static_cast<int>(left * 1000),
                                                "b",
                                                "Authorization: Bearer k1\r\n"),
                                   left);
      each.at = outcome.sentAt;
      each.answeredAt = outcome.endedAt;
      each.status = outcome.status;
      each.host = host.Front().ip;
      const std::lock_guard<std::mutex> lock(mutex_);
      sent_.push_back(each);
      const bool refused = each.status == 429 || each.status == 503 ||
                           outcome.detail == "no connection";
      const double wait =
        std::min(outcome.retryAfter, (attempt.until - Now()) / 3);
      if (refused && attempt.retriesLeft > 0 && wait >= 0 &&
          Now() < attempt.until) {
        --attempt.retriesLeft;
        ++attempt.consumer;
        retries_.emplace(Now() + wait, attempt);
      }
    }
  }

  const Balancer& balancer_;
  std::mutex mutex_;
  bool stopped_ = false;
  double nextRequest_;
  std::size_t count_ = 0;
  std::multimap<double, Attempt> retries_;
  std::vector<Sent> sent_;
  std::vector<std::thread> workers_;
};

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount < 4) {
    return 2;
  }
  const std::string folder = aArguments[2];
  Record::Open(aArguments[1]);
  const bool trouble = std::atoi(aArguments[3]) != 0;
  Store store({ "127.0.0.1", FreePort("127.0.0.1") });
  store.Put("config", "main", Configuration());
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    Server::Options options;
    options.id = "i-" + std::to_string(i);
    options.service = "s1";
    options.zone = i % 2 == 0 ? "z1" : "z2";
    options.slots = 6;
    options.work = 0.004;
    servers.push_back(std::make_unique<Server>(
      Address{ "127.0.0.1", FreePort("127.0.0.1") }, options));
    store.Put("servers", options.id, servers.back()->Entry("ready", 1, 1000));
  }
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
    options.bounds = R"(,"quota_window_s":5,"quota_overshoot":0.1,)"
                     R"("quota_slack":20)";
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
    Tenant tenant(balancer);
    SleepFor(0.3);
    const int owner = OwnerOf(hosts);
    Record::Line("the tenant's owner is h" + std::to_string(owner));
    // Two machines are killed; the platform starts the processes again.
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
    SleepFor(trouble ? 2 : 6.5);
    all = tenant.End();
  }
  std::map<std::string, Arrival> runs;
  for (const auto& server : servers) {
    for (const Arrival& arrival : server->Arrivals()) {
      if (arrival.ran) {
        runs[arrival.id] = arrival;
      }
    }
  }
  std::sort(all.begin(), all.end(), [](const Sent& aLeft, const Sent& aRight) {
    return aLeft.at < aRight.at;
  });
  std::vector<std::pair<double, double>> ran;
  for (const Sent& each : all) {
    const auto run = runs.find(each.id);
    char line[160];
    std::snprintf(line,
                  sizeof line,
                  "%s sent %.3f to %s, answered %.3f with %d, %s",
                  each.id.c_str(),
                  each.at,
                  each.host.c_str(),
                  each.answeredAt,
                  each.status,
                  run == runs.end() ? "not run" : "run");
    Record::Quiet(line);
    if (run != runs.end()) {
      ran.emplace_back(each.at, run->second.at);
    }
  }
  std::size_t most = 0;
  double from = 0;
  for (const auto& [start, unused] : ran) {
    const double end = start + kWindow;
    const auto count = static_cast<std::size_t>(
      std::count_if(ran.begin(), ran.end(), [&](const auto& aRun) {
        return aRun.first >= start && aRun.second <= end;
      }));
    if (count > most) {
      most = count;
      from = start;
    }
  }
  const double bound = (kRate * kWindow + kBurst) * (1 + kOvershoot) + kSlack;
  Record::Line("sent " + std::to_string(all.size()) + ", run " +
               std::to_string(ran.size()) + "; most run in 5 s: " +
               std::to_string(most) + " from " + std::to_string(from) +
               "; the limit is " + std::to_string(bound));
  const bool broken = static_cast<double>(most) > bound;
  Record::Line(broken ? "QUOTA broken" : "QUOTA held");
  hosts.clear();
  return broken ? 1 : 0;
}
