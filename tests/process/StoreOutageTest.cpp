#include "support/BlockingHttp.h"
#include "support/CheckedLoad.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

bool WaitForVersion(const Deployment& aDeployment,
                    std::size_t aHost,
                    std::uint64_t aVersion,
                    std::chrono::milliseconds aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (std::chrono::steady_clock::now() < end) {
    if (aDeployment.EntryVersion(aHost) >= aVersion) {
      return true;
    }
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

} // namespace

// Guards against traffic that depends on the store, and against a host that
// cannot join while the store is down.
TEST_CASE("the store is down under load and a host is replaced meanwhile")
{
  Deployment deployment;
  deployment.BringIntoService();
  CheckedLoad load(
    deployment, { { "steady", 2000ms }, { "down", 9000ms } }, 300);
  std::this_thread::sleep_for(2200ms);
  deployment.SetPlatform(R"({"down":true})");
  std::this_thread::sleep_for(1000ms);
  deployment.Entryd(4).Signal(SIGTERM);
  deployment.Controld(4).Signal(SIGTERM);
  deployment.Entryd(4).Wait(10s);
  deployment.Controld(4).Wait(10s);
  deployment.StartControld(4);
  deployment.StartEntryd(4);
  CHECK(WaitForVersion(deployment, 4, 1, 5s));
  const RunCheck check = load.Finish();
  CHECK(check.Passed());
  CHECK(load.Phase("down")["answered_whole"] == load.Phase("down")["sent"]);
}

// Guards against a host without the store that misses or reverts a change
// (I9), and against a host that takes an old version from a stale store.
TEST_CASE("a host cut from the store follows its peers and never goes back")
{
  Deployment deployment;
  deployment.BringIntoService();
  deployment.CutFromPlatform(0, true);
  deployment.CutFromPlatform(1, true);
  CHECK(deployment.Ctl({ "zone", "out", "z2" }).code == 0);
  for (std::size_t host = 0; host < deployment.Hosts(); ++host) {
    CHECK(WaitForVersion(deployment, host, 2, 6s));
  }
  deployment.SetPlatform(R"({"stale":true})");
  CHECK(deployment.Ctl({ "zone", "join", "z2" }).code != 1);
  // Restarted hosts read the old version from the store and the new one from
  // their peers.
  deployment.Controld(2).Stop();
  deployment.StartControld(2);
  const auto end = std::chrono::steady_clock::now() + 3s;
  while (std::chrono::steady_clock::now() < end) {
    for (std::size_t host = 0; host < deployment.Hosts(); ++host) {
      CHECK(deployment.EntryVersion(host) >= 2);
    }
    std::this_thread::sleep_for(100ms);
  }
}

// Guards against an accepted change that is reported as failed, or written
// twice, because the answer to its write was lost.
TEST_CASE("a write whose answer is lost is settled")
{
  Deployment deployment;
  deployment.BringIntoService();
  deployment.SetPlatform(R"({"lose_write_answers":3})");
  const CtlResult result = deployment.Ctl({ "zone", "out", "z1" });
  CAPTURE(result.output);
  CHECK(result.code == 0);
  CHECK(deployment.EntryVersion(0) == 2);
}

// Guards against two operators overwriting each other's change unnoticed.
TEST_CASE("of two racing operators one is told of the conflict")
{
  Deployment deployment;
  deployment.BringIntoService();
  const std::string first =
    deployment.Sheet("zone,z1,,,,in-service", "zone,z1,,,,out");
  const std::string second =
    deployment.Sheet("zone,z2,,,,in-service", "zone,z2,,,,out");
  deployment.SetPlatform(R"({"slow_ms":200})");
  CtlResult other;
  std::thread thread([&] { other = deployment.Apply(first); });
  const CtlResult own = deployment.Apply(second);
  thread.join();
  CAPTURE(own.output);
  CAPTURE(other.output);
  constexpr int kConflict = 4;
  const int conflicts =
    (own.code == kConflict ? 1 : 0) + (other.code == kConflict ? 1 : 0);
  const int done = (own.code == 0 ? 1 : 0) + (other.code == 0 ? 1 : 0);
  CHECK(conflicts == 1);
  CHECK(done == 1);
  CHECK(deployment.EntryVersion(0) == 2);
}
