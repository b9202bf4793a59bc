#include "entry/EntryControl.h"
#include "entry/SnapshotBuilder.h"
#include "support/TestEntry.h"
#include "support/TestTarget.h"

#include <asio/post.hpp>

#include <atomic>
#include <mutex>

using namespace lacewing;

namespace {

constexpr std::size_t kWorkers = 3;
constexpr std::size_t kCallers = 4;

void Echo(HttpRequest aRequest, const std::shared_ptr<HttpResponder>& aTo)
{
  HttpResponse response;
  response.body = aRequest.target;
  aTo->Send(std::move(response));
}

/** Sends requests one after the other until told to stop. */
class BusyCaller
{
public:
  BusyCaller(Endpoint aEntry, int aNumber)
    : entry_(std::move(aEntry))
    , thread_([this, aNumber] { Run(aNumber); })
  {
  }

  ~BusyCaller() { Stop(); }

  void Stop()
  {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  int right = 0;
  int notRun = 0;
  int wrong = 0;

private:
  void Run(int aNumber)
  {
    TestCaller caller;
    for (int i = 0; !stopping_; ++i) {
      const std::string path =
        "/" + std::to_string(aNumber) + "/" + std::to_string(i);
      const HttpCallResult result = caller.Get(entry_, "/s" + path);
      if (result.response.status == 200 && result.response.body == path) {
        ++right;
      } else if (FieldOf(result, "Lacewing-Outcome") == "not-run") {
        ++notRun;
      } else {
        ++wrong;
      }
    }
  }

  Endpoint entry_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

} // namespace

// Guards against races between the control thread's snapshots and grants and
// the workers' traffic, and against answers that change hands.
TEST_CASE("snapshots and grants are swapped during traffic")
{
  TestTarget first(&Echo);
  TestTarget second(&Echo);
  const MonotonicClock clock;
  // Workers report until they are destroyed, so the reports outlive them.
  std::mutex mutex;
  std::vector<WorkerReport> reports(kWorkers);
  std::vector<std::unique_ptr<TrafficWorker>> workers;
  WorkerOptions options;
  options.callers = { "127.0.0.1", 0 };
  for (std::uint32_t i = 0; i < kWorkers; ++i) {
    options.forwarder.worker = WorkerId(i);
    auto worker =
      TrafficWorker::Make(clock, options, [&, i](WorkerReport aReport) {
        const std::lock_guard<std::mutex> lock(mutex);
        reports[i] = std::move(aReport);
      });
    REQUIRE(worker);
    workers.push_back(std::move(worker).value());
    options.callers.port = workers.front()->Port();
  }
  SnapshotBuilder builder(HostId("e1"), ZoneId("z"), kWorkers);
  KnownPhases phases(TargetPhase::kWarm);
  const auto publish = [&](std::uint64_t aVersion) {
    const std::vector<Endpoint> targets = {
      aVersion % 2 == 0 ? first.Address() : second.Address(),
      aVersion % 3 == 0 ? first.Address() : second.Address()
    };
    Configuration configuration = *StaticSettings(targets).fixed;
    configuration.version = ConfigVersion(aVersion);
    const auto snapshot = builder.Build(configuration, phases);
    for (const auto& worker : workers) {
      worker->PostSnapshot(snapshot);
      worker->PostGrants(GrantRound(aVersion),
                         { { TargetId("t0"),
                             Epoch(),
                             SlotCount(1),
                             clock.Now() + std::chrono::milliseconds(50) } });
    }
  };
  publish(1);
  const Endpoint entry = { "127.0.0.1", workers.front()->Port() };
  std::vector<std::unique_ptr<BusyCaller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<BusyCaller>(entry, static_cast<int>(i)));
  }
  constexpr std::uint64_t kVersions = 300;
  for (std::uint64_t version = 2; version <= kVersions; ++version) {
    publish(version);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  int right = 0;
  for (const auto& caller : callers) {
    caller->Stop();
    right += caller->right;
    CHECK(caller->wrong == 0);
    CHECK(caller->notRun == 0);
  }
  CHECK(right > 100);
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  const std::lock_guard<std::mutex> lock(mutex);
  for (const WorkerReport& report : reports) {
    CHECK(report.version == ConfigVersion(kVersions));
    CHECK(report.grantRound == GrantRound(kVersions));
    CHECK(report.openRequests == 0);
    CHECK(report.buffered == ByteCount(0));
  }
}

// Guards against races in a planned stop of several workers under traffic,
// and against requests that it cuts off.
TEST_CASE("a planned stop under traffic cuts off nothing")
{
  TestTarget target(&Echo);
  EntrySettings settings = StaticSettings({ target.Address() });
  settings.workers = kWorkers;
  settings.drainDelay = std::chrono::milliseconds(300);
  TestEntry entry(settings);
  std::vector<std::unique_ptr<BusyCaller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(
      std::make_unique<BusyCaller>(entry.Callers(), static_cast<int>(i)));
  }
  TestCaller operatorCaller;
  for (int i = 0; i < 20; ++i) {
    operatorCaller.Get(entry.Admin(), "/metrics");
    operatorCaller.Get(entry.Admin(), "/dump");
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  entry.BeginStop();
  // The platform's balancer sends callers elsewhere within the drain delay.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  for (const auto& caller : callers) {
    caller->Stop();
    CHECK(caller->wrong == 0);
    CHECK(caller->right > 0);
  }
  CHECK(entry.Stop());
}
