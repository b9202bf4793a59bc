// A server's report "ready" is executed by the store after its report
// "draining", which was written later.
#include "Lab.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

using namespace lab;

namespace {

constexpr int kHosts = 3;
constexpr int kServers = 3;
constexpr int kSlots = 3;
constexpr double kDrain = 2;
constexpr std::uint64_t kBorn = 1765000000000;
// Times after the call without an answer; the store executes it 1 to 6 s later.
constexpr double kDrainingAt = 3.2;
constexpr double kExecutedAt = 5.7;
constexpr double kNextReportAt = 6.2;
constexpr double kExitAt = 6.4;

std::string Configuration()
{
  return R"({"version":7,"routes":[{"name":"r1","host":"a.example",)"
         R"("path_prefix":"/u/","kind":"unsafe","timeout_s":1.2,)"
         R"("target_latency_s":0.5,"priority":1,"service":"s1",)"
         R"("max_attempts":2}],"services":[{"name":"s1",)"
         R"("health_path":"/health","max_conns":220,"protocol":"h1",)"
         R"("tls":false,"warmup_s":3.0,"warmup_per_s":10.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
         R"("header_timeout_s":3,"idle_timeout_s":15}})";
}

void SleepUntil(double aTime)
{
  SleepFor(std::max(0.0, aTime - Now()));
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
  Store store({ "127.0.0.1", FreePort("127.0.0.1") });
  store.Put("config", "main", Configuration());
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    Server::Options options;
    options.id = "i-" + std::to_string(i);
    options.service = "s1";
    options.slots = kSlots;
    options.work = 0.01;
    servers.push_back(std::make_unique<Server>(
      Address{ "127.0.0.1", FreePort("127.0.0.1") }, options));
    store.Put("servers", options.id, servers.back()->Entry("ready", 1, kBorn));
  }
  std::vector<std::unique_ptr<Host>> hosts;
  const int basePort = FreeBase("127.0.4.10");
  for (int i = 0; i < kHosts; ++i) {
    Host::Options options;
    options.name = "h" + std::to_string(i);
    options.ip = "127.0.4." + std::to_string(10 + i);
    options.basePort = basePort;
    options.seeds = { "127.0.4.10", "127.0.4.11", "127.0.4.12" };
    options.store = store.Where();
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
  std::atomic<bool> stopped{ false };
  std::atomic<int> unsaid{ 0 };
  const auto send = [&](std::size_t aHost) {
    const std::string id = NewId("q");
    Record::Line("consumer sends " + id);
    const Outcome outcome =
      Send(hosts[aHost]->Front(),
           RequestBytes("POST", "a.example", "/u/x", id, 2500, "body"),
           2.5);
    Record::Line("consumer gets " + std::to_string(outcome.status) + " for " +
                 id + " " + outcome.detail);
    unsaid +=
      outcome.status == 502 || outcome.status == 504 || outcome.status == 0 ? 1
                                                                            : 0;
  };
  std::thread usual([&] {
    for (std::size_t n = 0; !stopped; ++n) {
      send(n % kHosts);
      SleepFor(0.05);
    }
  });
  const double start = Now();
  Server& leaving = *servers.front();
  Record::Line("i-0 reports ready, sequence 8: the call gets no answer");
  SleepUntil(start + kDrainingAt);
  leaving.SetDraining(true);
  store.Put("servers", "i-0", leaving.Entry("draining", 11, kBorn));
  const double acknowledgedAt = Now();
  Record::Line("i-0 reports draining, sequence 11: acknowledged");
  SleepUntil(start + kExecutedAt);
  if (trouble) {
    store.Put("servers", "i-0", leaving.Entry("ready", 8, kBorn));
    Record::Line("the store executes the report ready, sequence 8");
  }
  SleepFor(0.15);
  for (const auto& server : servers) {
    server->SetWork(0.7);
  }
  std::vector<std::thread> many;
  for (std::size_t n = 0; n < 3 * kSlots; ++n) {
    many.emplace_back([&send, n] { send(n % kHosts); });
    SleepFor(0.02);
  }
  SleepUntil(start + kNextReportAt);
  if (trouble) {
    store.Put("servers", "i-0", leaving.Entry("draining", 13, kBorn));
    Record::Line("i-0 reports draining, sequence 13: acknowledged");
  }
  SleepUntil(start + kExitAt);
  leaving.Exit();
  store.Remove("servers", "i-0");
  Record::Line("i-0 has exited");
  for (std::thread& thread : many) {
    thread.join();
  }
  stopped = true;
  usual.join();
  int late = 0;
  for (const Arrival& arrival : leaving.Arrivals()) {
    if (arrival.at > acknowledgedAt + kDrain) {
      ++late;
      Record::Line("i-0 got " + arrival.id + " " +
                   std::to_string(arrival.at - acknowledgedAt) +
                   " s after it was acknowledged as draining");
    }
  }
  Record::Line(std::to_string(late) + " requests reached i-0 too late; " +
               std::to_string(unsaid.load()) +
               " requests were answered with 502 or 504 or not at all");
  Record::Line(late > 0 ? "DRAIN broken" : "DRAIN held");
  hosts.clear();
  return late > 0 ? 1 : 0;
}
