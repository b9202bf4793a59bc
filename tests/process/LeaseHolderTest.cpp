#include "support/BlockingHttp.h"
#include "support/CheckedLoad.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

std::uint64_t FallOvers(const Deployment& aDeployment)
{
  std::uint64_t sum = 0;
  for (std::size_t zone = 0; zone < aDeployment.Zones(); ++zone) {
    for (const nlohmann::json& target :
         GetJson(aDeployment.TargetAdmin(zone), "/stats")["targets"]) {
      sum += target["fall_overs"].get<std::uint64_t>();
    }
  }
  return sum;
}

/** Hosts whose controld holds a lease now, by their dumps. */
std::vector<std::size_t> LeaseHolders(const Deployment& aDeployment)
{
  std::vector<std::size_t> holders;
  for (std::size_t host = 0; host < aDeployment.Hosts(); ++host) {
    const nlohmann::json dump =
      GetJson(aDeployment.ControlAdmin(host), "/dump");
    for (const nlohmann::json& lease : dump["leases"]) {
      if (lease["held_here"] == true) {
        holders.push_back(host);
        break;
      }
    }
  }
  return holders;
}

} // namespace

// Guards against a lease holder that is paused beyond its lease, wakes up and
// gives grants beside its successor: cold targets would get too much (I2).
TEST_CASE("lease holders are paused beyond their leases and woken")
{
  DeploymentOptions options;
  options.targetProperties =
    "slots=3,service_time=exponential,service_ms=5,cold_ms=60000,cold_limit=1";
  options.serviceColumns = "3,100,GET HEAD,1 s,1 %,1,60 s,1 s";
  Deployment deployment(options);
  REQUIRE(deployment.Apply(deployment.Sheet()).code == 0);
  std::this_thread::sleep_for(3s);
  CheckedLoad load(
    deployment, { { "paused", 16000ms }, { "woken", 14000ms } }, 200);
  std::this_thread::sleep_for(2s);
  // Two of five hosts at the same time.
  std::vector<std::size_t> paused = LeaseHolders(deployment);
  REQUIRE(!paused.empty());
  paused.resize(std::min<std::size_t>(paused.size(), 2));
  for (const std::size_t host : paused) {
    deployment.Controld(host).Signal(SIGSTOP);
  }
  // Longer than the lease time of 10 s, so that others take over.
  std::this_thread::sleep_for(14s);
  for (const std::size_t host : paused) {
    deployment.Controld(host).Signal(SIGCONT);
  }
  const RunCheck check = load.Finish();
  CHECK(check.Passed());
  CHECK(check.Phase("woken").runs[0] > 0);
  CHECK(FallOvers(deployment) == 0);
}
