#include "support/BlockingHttp.h"
#include "support/FreePorts.h"
#include "support/HostAddress.h"
#include "support/Process.h"
#include "support/ScriptedTarget.h"
#include "support/StoreThread.h"
#include "support/TempFile.h"

#include <asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <sys/stat.h>
#include <thread>
#include <utility>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

constexpr const char* kVirtualHost = "shop.example";

/** A server of the platform: probes at once, requests after aWork. */
std::string Serve(const std::string& aHead, std::chrono::milliseconds aWork)
{
  if (aHead.rfind("GET /health ", 0) == 0) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
           "Lacewinghoist-Instance-Id: i-1\r\n"
           "Lacewinghoist-Server-Load: 0,0,6,100\r\n\r\n";
  }
  if (aHead.find(" /a/hang ") != std::string::npos) {
    // Keeps the connection open and never answers.
    return ScriptedTarget::kDelayMarker;
  }
  std::this_thread::sleep_for(aWork);
  const std::string key = "Lacewinghoist-Request-Id: ";
  const std::size_t at = aHead.find(key);
  const std::string id =
    at == std::string::npos
      ? std::string()
      : aHead.substr(at, aHead.find("\r\n", at) - at) + "\r\n";
  const std::string fields = id + "Lacewinghoist-Server-Signature: s\r\n";
  if (aHead.find(" /a/reset ") != std::string::npos) {
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n0123456789" +
           ScriptedTarget::kResetMarker;
  }
  return OkResponse("served", fields);
}

nlohmann::json Route(const std::string& aPrefix, double aTimeoutSeconds = 3.0)
{
  return { { "name", aPrefix },
           { "host", kVirtualHost },
           { "path_prefix", aPrefix },
           { "kind", "unsafe" },
           { "timeout_s", aTimeoutSeconds },
           { "target_latency_s", 1.0 },
           { "priority", 1 },
           { "max_attempts", 2 },
           { "service", "s" } };
}

nlohmann::json Configuration(int aVersion, const nlohmann::json& aRoute)
{
  return { { "version", aVersion },
           { "routes", nlohmann::json::array({ aRoute }) },
           { "services",
             nlohmann::json::array({ { { "name", "s" },
                                       { "health_path", "/health" },
                                       { "warmup_s", 1.0 },
                                       { "warmup_per_s", 5.0 } } }) },
           { "limits", nlohmann::json::object() } };
}

bool IsListening(const Endpoint& aEndpoint)
{
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  asio::error_code error;
  socket.connect({ asio::ip::make_address(aEndpoint.address), aEndpoint.port },
                 error);
  return !error;
}

struct HostdFixture
{
  explicit HostdFixture(std::chrono::milliseconds aWork,
                        ScriptedTarget::ReadsFirst aReadsFirst =
                          ScriptedTarget::ReadsFirst::kWholeRequest)
    : server(
        [aWork](int, const std::string& aHead) { return Serve(aHead, aWork); },
        aReadsFirst)
    , settings(Settings().dump())
  {
    store.Do([this](StoreStandin& aStore) {
      aStore.Put("config", "main", Configuration(1, Route("/a/")));
      aStore.Put("servers",
                 "i-1",
                 { { "service", "s" },
                   { "address", server.Address().ToString() },
                   { "zone", "z" },
                   { "slots", 6 },
                   { "state", "ready" },
                   { "born", 1 } });
    });
  }

  nlohmann::json Settings(double aGraceSeconds = 6) const
  {
    return { { "node", "h1" },
             { "ip", address.Text() },
             { "zone", "z" },
             { "listen",
               { { "front", Front().ToString() },
                 { "ready", At(1).ToString() } } },
             { "internal_ports", { ports.Port(2), ports.Port(2) } },
             { "seeds", nlohmann::json::array() },
             { "bounds", { { "grace_s", aGraceSeconds } } },
             { "platform", { { "address", store.Address().ToString() } } } };
  }

  Endpoint At(std::size_t aPort) const
  {
    return ports.At(aPort, address.Text());
  }

  Endpoint Front() const { return At(0); }

  void WriteSettings(double aGraceSeconds) const
  {
    std::ofstream(settings.Path()) << Settings(aGraceSeconds).dump();
  }

  /** Sends a request that no target answers before the host has stopped. */
  std::future<int> PostEndless()
  {
    return std::async(std::launch::async,
                      [this] { return Post("/a/hang", 20000ms); });
  }

  /** Makes requests outlast any grace time of these tests. */
  void RaiseRouteTimeout()
  {
    store.Do([](StoreStandin& aStore) {
      aStore.Put("config", "main", Configuration(2, Route("/a/", 20.0)));
    });
  }

  int Ready() { return StatusAt(At(1), "/-/ready"); }

  static int StatusAt(const Endpoint& aEndpoint, const std::string& aTarget)
  {
    const HttpCallResult result = Get(aEndpoint, aTarget);
    return result.end == HttpCallEnd::kAnswered
             ? static_cast<int>(result.response.status)
             : 0;
  }

  int Post(const std::string& aTarget,
           std::chrono::milliseconds aPatience = 5000ms,
           const std::string& aBody = "body")
  {
    HttpFields fields;
    fields.Add("Host", kVirtualHost);
    fields.Add("Lacewinghoist-Request-Id", "r" + std::to_string(++requests));
    fields.Add("Lacewinghoist-Deadline-Ms", std::to_string(aPatience.count()));
    const HttpCallResult result = Send("POST", Front(), aTarget, aBody, fields);
    return result.end == HttpCallEnd::kAnswered
             ? static_cast<int>(result.response.status)
             : 0;
  }

  template<class Condition>
  static bool Within(std::chrono::milliseconds aLimit,
                     Condition aCondition,
                     std::chrono::microseconds aPeriod = 20ms)
  {
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(aPeriod);
    }
    return true;
  }

  HostAddress address;
  FreePorts ports{ 3 };
  StoreThread store;
  ScriptedTarget server;
  TempFile settings;
  int requests = 0;
};

} // namespace

// Guards against a host that is not ready though it could serve, that misses a
// change of the configuration, or that cuts a request off at a planned stop.
TEST_CASE("hostd: a host serves, follows the store and stops in order")
{
  HostdFixture fix(400ms);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  CHECK(fix.Post("/a/x") == 200);
  CHECK(fix.Post("/b/x") == 404);
  fix.store.Do([](StoreStandin& aStore) {
    aStore.Put("config", "main", Configuration(2, Route("/b/")));
  });
  // The users' bound for a configuration.
  CHECK(HostdFixture::Within(2s, [&] { return fix.Post("/b/x") == 200; }));
  CHECK(fix.Post("/a/x") == 404);
  std::future<int> inProgress =
    std::async(std::launch::async, [&] { return fix.Post("/b/last"); });
  std::this_thread::sleep_for(150ms);
  hostd.Signal(SIGTERM);
  CHECK(inProgress.get() == 200);
  CHECK(fix.Ready() == 503);
  CHECK(hostd.Wait(6s) == 0);
  CHECK(hostd.Output().find("event=stopped") != std::string::npos);
}

// Guards against a part of an answer that reaches the caller as a whole one:
// the server answers a long upload without a length and resets the connection.
TEST_CASE("hostd: a reset during an upload is no end of an answer")
{
  HostdFixture fix(0ms, ScriptedTarget::ReadsFirst::kHead);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  const std::string upload(8U << 20U, 'u');
  for (int i = 0; i < 5; ++i) {
    CHECK(fix.Post("/a/reset", 5000ms, upload) == 502);
  }
}

// Guards against traffic that ends with the store, and against a reload of the
// settings that disturbs it.
TEST_CASE("hostd: traffic goes on through a store outage and a reload")
{
  HostdFixture fix(10ms);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  fix.store.Do(
    [](StoreStandin& aStore) { aStore.SetFault(StoreFault::kUnresponsive); });
  hostd.Signal(SIGHUP);
  for (int i = 0; i < 20; ++i) {
    CHECK(fix.Post("/a/x") == 200);
    std::this_thread::sleep_for(100ms);
  }
  CHECK(fix.Ready() == 200);
}

// Guards against a configuration that is taken back because the store came back
// from a copy that has an older one, and against a later one that is taken for
// old because its revision is below those that the store had reached.
TEST_CASE("hostd: configurations only advance when the store returns to a copy")
{
  HostdFixture fix(10ms);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  fix.store.Do([](StoreStandin& aStore) {
    aStore.TakeCopy();
    for (int version = 2; version < 10; ++version) {
      aStore.Put("config", "main", Configuration(version, Route("/b/")));
    }
  });
  REQUIRE(HostdFixture::Within(2s, [&] { return fix.Post("/b/x") == 200; }));
  fix.store.Do([](StoreStandin& aStore) { aStore.RestoreCopy(); });
  for (int i = 0; i < 20; ++i) {
    CHECK(fix.Post("/b/x") == 200);
    std::this_thread::sleep_for(100ms);
  }
  fix.store.Do([](StoreStandin& aStore) {
    aStore.Put("config", "main", Configuration(10, Route("/c/")));
  });
  // The users' bound for a configuration.
  CHECK(HostdFixture::Within(2s, [&] { return fix.Post("/c/x") == 200; }));
  CHECK(fix.Post("/b/x") == 404);
}

// Guards against a changed setting that is silently not in force.
TEST_CASE("hostd: a setting that needs a restart is named at the reload")
{
  HostdFixture fix(10ms);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  nlohmann::json changed = fix.Settings();
  changed["platform"]["address"] = "127.0.0.1:1";
  std::ofstream(fix.settings.Path()) << changed.dump();
  hostd.Signal(SIGHUP);
  CHECK(HostdFixture::Within(3s, [&] {
    return hostd.Output().find("the store's address differs") !=
           std::string::npos;
  }));
  CHECK(fix.Post("/a/x") == 200);
}

// Guards against a stopping host that takes no more connections while the
// balancer, for want of others in the zone, still sends it some, and against
// one that takes requests which it will not live to answer.
TEST_CASE("hostd: a stopping host serves what it can end in the grace time")
{
  HostdFixture fix(10ms);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  const auto stopped = std::chrono::steady_clock::now();
  hostd.Signal(SIGTERM);
  std::this_thread::sleep_for(50ms);
  while (std::chrono::steady_clock::now() - stopped < 4s) {
    CHECK(fix.Post("/a/x", 1000ms) == 200);
    std::this_thread::sleep_for(50ms);
  }
  CHECK(fix.Post("/a/x", 2500ms) == 503);
  CHECK(hostd.Wait(2s) == 0);
}

// Guards against a planned stop that cuts requests without an answer: one from
// before SIGTERM whose target answers only after the grace time. A second
// SIGTERM must not cut it sooner.
TEST_CASE("hostd: a request that outlasts the grace time gets an answer")
{
  HostdFixture fix(10ms);
  fix.RaiseRouteTimeout();
  fix.WriteSettings(4);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  std::future<int> endless = fix.PostEndless();
  std::this_thread::sleep_for(150ms);
  hostd.Signal(SIGTERM);
  CHECK(endless.wait_for(1s) == std::future_status::timeout);
  hostd.Signal(SIGTERM);
  // Its target may still answer.
  CHECK(endless.wait_for(2s) == std::future_status::timeout);
  CHECK(hostd.Wait(1s) == 0);
  CHECK(endless.get() == 502);
  const std::string output = hostd.Output();
  CHECK(output.find("open=1") != std::string::npos);
  CHECK(output.find("event=unanswered") == std::string::npos);
}

// Guards against a stop whose two ends, that of accepted requests and that of
// the process, drift apart when the grace time is changed during the stop.
TEST_CASE("hostd: a shorter grace time holds for a stop in progress")
{
  HostdFixture fix(10ms);
  fix.RaiseRouteTimeout();
  fix.WriteSettings(20);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  std::future<int> endless = fix.PostEndless();
  std::this_thread::sleep_for(150ms);
  hostd.Signal(SIGTERM);
  std::this_thread::sleep_for(500ms);
  fix.WriteSettings(3);
  hostd.Signal(SIGHUP);
  std::this_thread::sleep_for(500ms);
  CHECK(fix.Post("/a/x", 2500ms) == 503);
  CHECK(fix.Post("/a/x", 1000ms) == 200);
  CHECK(hostd.Wait(2s) == 0);
  CHECK(endless.get() == 502);
}

// Guards against a stop that waits for a grace time raised after SIGTERM: the
// platform may kill the process at the end of the one it had promised.
TEST_CASE("hostd: a longer grace time does not prolong a stop in progress")
{
  HostdFixture fix(10ms);
  fix.RaiseRouteTimeout();
  fix.WriteSettings(3);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  std::future<int> endless = fix.PostEndless();
  std::this_thread::sleep_for(150ms);
  hostd.Signal(SIGTERM);
  std::this_thread::sleep_for(200ms);
  fix.WriteSettings(20);
  hostd.Signal(SIGHUP);
  CHECK(hostd.Wait(2800ms) == 0);
  CHECK(endless.get() == 502);
}

// Guards against a grace time that is over as soon as it is reloaded: the open
// requests must be answered before the process ends.
TEST_CASE("hostd: a grace time that is already over ends a stop in order")
{
  HostdFixture fix(10ms);
  fix.RaiseRouteTimeout();
  fix.WriteSettings(20);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  std::future<int> endless = fix.PostEndless();
  std::this_thread::sleep_for(150ms);
  hostd.Signal(SIGTERM);
  std::this_thread::sleep_for(1500ms);
  fix.WriteSettings(1);
  hostd.Signal(SIGHUP);
  CHECK(hostd.Wait(1s) == 0);
  CHECK(endless.get() == 502);
}

// Guards against a stop that never ends, or cuts a request, because the host
// has not received a configuration.
TEST_CASE("hostd: a host that is still starting stops in order")
{
  HostdFixture fix(10ms);
  fix.store.Do(
    [](StoreStandin& aStore) { aStore.SetFault(StoreFault::kUnresponsive); });
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 503; }));
  std::future<int> early =
    std::async(std::launch::async, [&] { return fix.Post("/a/x"); });
  hostd.Signal(SIGTERM);
  CHECK(early.get() == 503);
  CHECK(hostd.Wait(6s) == 0);
}

// Guards against a host that is killed by SIGTERM, with the connections that it
// has accepted, because it listens before it handles signals.
TEST_CASE("hostd: a stop as soon as the host listens is in order")
{
  HostdFixture fix(10ms);
  fix.WriteSettings(1);
  // Not every stop hits the time between the two.
  for (int i = 0; i < 20; ++i) {
    CAPTURE(i);
    Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
    REQUIRE(HostdFixture::Within(
      8s, [&] { return IsListening(fix.Front()); }, 50us));
    hostd.Signal(SIGTERM);
    const std::optional<int> code = hostd.Wait(3s);
    CAPTURE(code.value_or(-99));
    CAPTURE(hostd.Output());
    CHECK(code == 0);
  }
}

// Guards against test programs that run at the same time and end each other's
// hosts: all hosts had one address, where only one can listen for its metrics.
// The others ended with code 1, also after they had begun to listen.
TEST_CASE("hostd: hosts of several test programs run side by side")
{
  HostdFixture first(10ms);
  HostdFixture second(10ms);
  Process one("lacewing-hostd", { "--settings=" + first.settings.Path() });
  Process other("lacewing-hostd", { "--settings=" + second.settings.Path() });
  CHECK(HostdFixture::Within(8s, [&] { return first.Ready() == 200; }));
  CHECK(HostdFixture::Within(8s, [&] { return second.Ready() == 200; }));
  CHECK(one.Stop() == 0);
  CHECK(other.Stop() == 0);
}

// Guards against a process that ends by itself and leaves nothing in its log:
// neither its end nor the lines that still waited to be written.
TEST_CASE("hostd: a process that ends by a signal says so in its last line")
{
  for (const auto& [signal, name] :
       { std::pair(SIGSEGV, "SIGSEGV"), std::pair(SIGABRT, "SIGABRT") }) {
    CAPTURE(name);
    HostdFixture fix(10ms);
    Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
    REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
    CHECK(fix.Post("/a/x") == 200);
    hostd.Signal(signal);
    CHECK(hostd.Wait(3s) == -signal);
    const std::string output = hostd.Output();
    CHECK(output.find(" event=request request=r1 ") != std::string::npos);
    const std::size_t last = output.rfind('\n', output.size() - 2) + 1;
    CHECK(output.find(std::string("level=ERROR event=crashed signal=") + name +
                        " thread=control\n",
                      last) != std::string::npos);
  }
}

// Guards against a host that is ended by SIGHUP because it does not handle
// signals yet while it reads its settings.
TEST_CASE("hostd: a reload while the host reads its settings does not end it")
{
  HostdFixture fix(10ms);
  const std::string path = fix.settings.Path() + ".start";
  REQUIRE(mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
  Process hostd("lacewing-hostd", { "--settings=" + path });
  // Opens when the host does; the host reads on until this is closed.
  std::ofstream start(path);
  start << fix.Settings().dump() << std::flush;
  std::filesystem::rename(fix.settings.Path(), path);
  hostd.Signal(SIGHUP);
  start.close();
  CHECK(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  hostd.Signal(SIGTERM);
  CHECK(hostd.Wait(6s) == 0);
  std::filesystem::rename(path, fix.settings.Path());
}

// Guards against a host that is ended by a signal that comes before its main():
// the soak's seeds 3206 and 3213 sent SIGHUP to a process just spawned. Here a
// preloaded library sends it while the libraries are initialized.
TEST_CASE("hostd: a reload before the host's main() does not end it")
{
  HostdFixture fix(10ms);
  const std::string programs = LACEWING_BIN_DIR;
  Process hostd("/usr/bin/env",
                { "LD_PRELOAD=" + programs + "/liblacewing_early_signal.so",
                  programs + "/lacewing-hostd",
                  "--settings=" + fix.settings.Path() });
  CHECK(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  CHECK(hostd.Stop() == 0);
  CHECK(hostd.Output().find("cause=signal") != std::string::npos);
}

// Guards against a failed request whose target the logs do not name: a sending
// that was given up at the route's timeout left no line.
TEST_CASE("hostd: the logs name the target of a request that timed out")
{
  HostdFixture fix(10ms);
  Process hostd("lacewing-hostd", { "--settings=" + fix.settings.Path() });
  REQUIRE(HostdFixture::Within(8s, [&] { return fix.Ready() == 200; }));
  CHECK(fix.Post("/a/hang") == 504);
  CHECK(hostd.Stop() == 0);
  const std::string output = hostd.Output();
  const std::size_t line = output.find("event=attempt request=r1 target=i-1");
  REQUIRE(line != std::string::npos);
  CHECK(
    output.substr(line, output.find('\n', line) - line).find("end=cancelled") !=
    std::string::npos);
}
