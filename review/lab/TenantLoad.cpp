#include "TenantLoad.h"

#include <algorithm>
#include <cstdio>

namespace lab {

namespace {

constexpr int kServers = 6;
constexpr int kWorkers = 64;
// Of the requests of solvendra-gw-grown: the time limit and the retries.
constexpr int kTimeLimitMs = 3000;
constexpr int kRetries = 2;

} // namespace

std::string Limit::Configuration() const
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
         std::to_string(static_cast<int>(rate)) + R"(,"burst":)" +
         std::to_string(static_cast<int>(burst)) + "}]}";
}

std::string Limit::Bounds()
{
  return R"(,"quota_window_s":5,"quota_overshoot":0.1,"quota_slack":20)";
}

Balancer::Balancer(const std::vector<std::unique_ptr<Host>>& aHosts)
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

Balancer::~Balancer()
{
  stopped_ = true;
  thread_.join();
}

const Host& Balancer::HostFor(std::size_t aHash) const
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const std::size_t at = (aHash + i) % hosts_.size();
    if (misses_[at] < 2) {
      return *hosts_[at];
    }
  }
  return *hosts_[aHash % hosts_.size()];
}

Tenant::Tenant(const Balancer& aBalancer, const Limit& aLimit)
  : balancer_(aBalancer)
  , demand_(aLimit.Demand())
  , nextRequest_(Now())
{
  for (int i = 0; i < kWorkers; ++i) {
    workers_.emplace_back([this] { Work(); });
  }
}

std::vector<Sent> Tenant::End()
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

std::optional<std::pair<double, Tenant::Attempt>> Tenant::Take()
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
  attempt.retriesLeft = kRetries;
  // Fibonacci hashing, so that the consumers' requests spread over the hosts.
  attempt.consumer = count_++ * 2654435761U % 4294967296U >> 16U;
  const double due = nextRequest_;
  nextRequest_ += 1 / demand_;
  return std::make_pair(due, attempt);
}

void Tenant::Work()
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

std::vector<std::unique_ptr<Server>> StartServers(Store& aStore)
{
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
    aStore.Put("servers", options.id, servers.back()->Entry("ready", 1, 1000));
  }
  return servers;
}

bool IsExceeded(const Limit& aLimit,
                std::vector<Sent> aSent,
                const std::vector<std::unique_ptr<Server>>& aServers)
{
  std::map<std::string, Arrival> runs;
  for (const auto& server : aServers) {
    for (const Arrival& arrival : server->Arrivals()) {
      if (arrival.ran) {
        runs[arrival.id] = arrival;
      }
    }
  }
  std::sort(
    aSent.begin(), aSent.end(), [](const Sent& aLeft, const Sent& aRight) {
      return aLeft.at < aRight.at;
    });
  std::vector<std::pair<double, double>> ran;
  for (const Sent& each : aSent) {
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
    const double end = start + aLimit.window;
    const auto count = static_cast<std::size_t>(
      std::count_if(ran.begin(), ran.end(), [&](const auto& aRun) {
        return aRun.first >= start && aRun.second <= end;
      }));
    if (count > most) {
      most = count;
      from = start;
    }
  }
  const double bound = aLimit.MostInWindow();
  Record::Line("sent " + std::to_string(aSent.size()) + ", run " +
               std::to_string(ran.size()) + "; most run in 5 s: " +
               std::to_string(most) + " from " + std::to_string(from) +
               "; the limit is " + std::to_string(bound));
  const bool broken = static_cast<double>(most) > bound;
  Record::Line(broken ? "QUOTA broken" : "QUOTA held");
  return broken;
}

} // namespace lab
