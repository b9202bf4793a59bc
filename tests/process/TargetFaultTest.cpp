#include "support/BlockingHttp.h"
#include "support/CheckedLoad.h"

#include <doctest/doctest.h>

#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

void SetTarget(const Deployment& aDeployment, const std::string& aProperties)
{
  const std::string path =
    "/targets/" + std::to_string(aDeployment.TargetPort(0, 0));
  REQUIRE(Send("PUT", aDeployment.TargetAdmin(0), path, aProperties)
            .response.status == 204);
}

std::uint64_t RunsOfFirstTarget(const Deployment& aDeployment)
{
  return GetJson(aDeployment.TargetAdmin(0), "/stats")["targets"][0]["runs"];
}

} // namespace

// Guards against a target that fails fast and attracts traffic by looking
// idle: of nine targets it would get far more than its ninth.
TEST_CASE("a target that fails fast does not attract traffic")
{
  Deployment deployment;
  deployment.BringIntoService();
  SetTarget(deployment, R"({"fail_fast":true})");
  std::this_thread::sleep_for(500ms);
  const std::uint64_t before = RunsOfFirstTarget(deployment);
  CheckedLoad load(deployment, { { "failing", 4000ms } }, 400);
  load.Finish();
  const double sent = load.Phase("failing")["sent"];
  CHECK(double(RunsOfFirstTarget(deployment) - before) < sent / 9);
}

// Guards against a target that turns slow and keeps its share of the traffic.
TEST_CASE("a target that slows down twentyfold loses most of its traffic")
{
  Deployment deployment;
  deployment.BringIntoService();
  CheckedLoad load(deployment, { { "slow", 5000ms }, { "end", 1000ms } }, 400);
  std::this_thread::sleep_for(500ms);
  SetTarget(deployment, R"({"slow_factor":20})");
  std::this_thread::sleep_for(500ms);
  const std::uint64_t before = RunsOfFirstTarget(deployment);
  std::this_thread::sleep_for(4000ms);
  const std::uint64_t runs = RunsOfFirstTarget(deployment) - before;
  const RunCheck check = load.Finish();
  CHECK(check.Passed());
  // A ninth of 400 requests/s for 4 s would be 178.
  CHECK(runs < 178 / 2);
  MESSAGE("runs at the slow target in 4 s: " << runs);
}

// Guards against new work at a target 3 s after it starts leaving (I7).
TEST_CASE("a target that leaves gets no new work and none is cut off")
{
  Deployment deployment;
  deployment.BringIntoService();
  CheckedLoad load(
    deployment, { { "leaving", 4000ms }, { "left", 3000ms } }, 300);
  std::this_thread::sleep_for(500ms);
  const std::string row =
    "t0-0,ledger,z0," +
    Endpoint{ "127.0.0.1", deployment.TargetPort(0, 0) }.ToString();
  CHECK(
    deployment.Apply(deployment.Sheet(row + ",in-service", row + ",leaving"))
      .code == 0);
  std::this_thread::sleep_for(3000ms);
  const std::uint64_t before = RunsOfFirstTarget(deployment);
  const RunCheck check = load.Finish();
  CHECK(RunsOfFirstTarget(deployment) == before);
  CHECK(check.Passed());
  for (const char* phase : { "leaving", "left" }) {
    CHECK(load.Phase(phase)["answered_whole"] == load.Phase(phase)["sent"]);
  }
}

// Guards against a target's second answers that reach the callers of the next
// requests on its connections.
TEST_CASE("a target that answers twice confuses no caller")
{
  Deployment deployment;
  deployment.BringIntoService();
  SetTarget(deployment, R"({"late_answer_ms":20})");
  CheckedLoad load(deployment, { { "twice", 3000ms } }, 400);
  const RunCheck check = load.Finish();
  CHECK(check.Passed());
  CHECK(load.Total()["mismatched"] == 0);
  CHECK(RunsOfFirstTarget(deployment) > 0);
}
