#include "support/BlockingHttp.h"
#include "support/CheckedLoad.h"

#include <doctest/doctest.h>

#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

std::uint64_t SumOfStats(const Deployment& aDeployment,
                         const std::string& aName)
{
  std::uint64_t sum = 0;
  for (std::size_t zone = 0; zone < aDeployment.Zones(); ++zone) {
    const nlohmann::json stats =
      GetJson(aDeployment.TargetAdmin(zone), "/stats");
    for (const nlohmann::json& target : stats["targets"]) {
      sum += target[aName].get<std::uint64_t>();
    }
  }
  return sum;
}

/** Sends load at once to targets that bear one request for 10 s. */
std::uint64_t FallOversOfColdTargets(const std::string& aColdLimit)
{
  DeploymentOptions options;
  options.targetProperties =
    "slots=3,service_time=exponential,service_ms=5,cold_ms=10000,cold_limit=1";
  options.serviceColumns = "3,100,GET HEAD,2 s,1 %," + aColdLimit + ",10 s,1 s";
  Deployment deployment(options);
  REQUIRE(deployment.Apply(deployment.Sheet()).code == 0);
  CheckedLoad load(deployment, { { "cold", 7000ms } }, 400);
  CHECK(load.Finish().Passed());
  CHECK(SumOfStats(deployment, "runs") > 500);
  return SumOfStats(deployment, "fall_overs");
}

} // namespace

// Guards against entry hosts that together send a target in a cold start more
// than it can bear (I2).
TEST_CASE("cold targets get no more than their limit from five hosts")
{
  CHECK(FallOversOfColdTargets("1") == 0);
}

// Shows that the check above sees targets that get too much: with a limit of
// two in the sheet, targets that bear one request fall over.
TEST_CASE("the check sees cold targets fall over")
{
  CHECK(FallOversOfColdTargets("2") > 0);
}

// Guards against a target that restarts without warning and is kept from
// recovering by work that treats it as warm.
TEST_CASE("a target that turns cold without warning recovers")
{
  Deployment deployment;
  deployment.BringIntoService();
  CheckedLoad load(
    deployment, { { "steady", 2000ms }, { "cold", 8000ms } }, 300);
  std::this_thread::sleep_for(2200ms);
  const Endpoint admin = deployment.TargetAdmin(0);
  Send("POST",
       admin,
       "/targets/" + std::to_string(deployment.TargetPort(0, 0)) + "/restart");
  // Requests that are on their way may still make it fall over once more.
  std::this_thread::sleep_for(500ms);
  const std::uint64_t before = SumOfStats(deployment, "fall_overs");
  std::this_thread::sleep_for(5000ms);
  CHECK(SumOfStats(deployment, "fall_overs") == before);
  const RunCheck check = load.Finish();
  CHECK(check.Passed());
  MESSAGE("fall-overs in the first 500 ms: " << before);
  CHECK(deployment.WaitUntilWarm(5000ms));
}
