#include "load/AnswerBody.h"
#include "support/BlockingHttp.h"
#include "support/FreePorts.h"
#include "support/Process.h"

#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

struct TargetFixture
{
  TargetFixture() { REQUIRE(WaitUntilListening(admin)); }

  std::future<HttpCallResult> GetLater(std::chrono::milliseconds aTimeout,
                                       const std::string& aTarget)
  {
    HttpCall call;
    call.endpoint = at;
    call.target = aTarget;
    call.timeout = aTimeout;
    return std::async(std::launch::async, [call] { return RunCall(call); });
  }

  void Set(const std::string& aProperties)
  {
    const std::string path = "/targets/" + std::to_string(at.port);
    REQUIRE(Send("PUT", admin, path, aProperties).response.status == 204);
  }

  nlohmann::json Stats() { return GetJson(admin, "/stats")["targets"][0]; }

  FreePorts ports{ 2 };
  Endpoint at = ports.At(0);
  Endpoint admin = ports.At(1);
  Process target{ "standin-target",
                  { "--listen=" + at.ToString(),
                    "--admin=" + admin.ToString(),
                    "--set=slots=1,service_ms=100" } };
};

} // namespace

// Guards against an overload of a cold target that goes uncounted; the checks
// of invariant I2 rest on this count.
TEST_CASE_FIXTURE(TargetFixture, "a cold target falls over beyond its limit")
{
  Set(R"({"cold_ms":60000,"cold_limit":1})");
  const std::string instance = Stats()["instance"];
  CHECK(Get(at, "/one").response.status == 200);
  CHECK(Stats()["fall_overs"] == 0);
  auto first = GetLater(5s, "/first");
  std::this_thread::sleep_for(50ms);
  CHECK(Get(at, "/second").end == HttpCallEnd::kLost);
  CHECK(first.get().end == HttpCallEnd::kLost);
  const nlohmann::json stats = Stats();
  CHECK(stats["fall_overs"] == 1);
  CHECK(stats["highest_in_progress_cold"] == 2);
  CHECK(stats["instance"] != instance);
  CHECK(stats["runs"] == 2);
}

// Guards against work that goes on for a caller who has left.
TEST_CASE_FIXTURE(TargetFixture, "a closed connection cancels its request")
{
  auto running = GetLater(50ms, "/running");
  std::this_thread::sleep_for(10ms);
  auto waiting = GetLater(20ms, "/waiting");
  running.wait();
  waiting.wait();
  std::this_thread::sleep_for(20ms);
  const nlohmann::json stats = Stats();
  CHECK(stats["cancelled_running"] == 1);
  CHECK(stats["cancelled_waiting"] == 1);
  CHECK(stats["runs"] == 1);
  const std::string runs = Get(admin, "/runs").response.body;
  CHECK(nlohmann::json::parse(runs)["end"] == "cancelled");
}

// Guards against refusals as not run that were run all the same, and against
// answers that the load tool cannot check.
TEST_CASE_FIXTURE(TargetFixture, "refusals are proved, answers predictable")
{
  const std::string path = "/a?id=1&bytes=1000";
  CHECK(Send("POST", at, path, "body").response.body ==
        MakeAnswerBody("POST", path, "body"));
  auto first = GetLater(5s, "/first");
  std::this_thread::sleep_for(20ms);
  HttpFields fields;
  fields.Add("Lacewing-Deadline-Ms", "10");
  const HttpCallResult late = Send("GET", at, "/late", "", fields);
  CHECK(late.response.status == 503);
  CHECK(late.response.fields.Find("Target-Not-Run"));
  first.wait();
  Set(R"({"draining":true})");
  const HttpCallResult drained = Get(at, "/drained");
  CHECK(drained.response.fields.Find("Target-Not-Run"));
  CHECK(*drained.response.fields.Find("Target-State") == "draining");
  CHECK(Stats()["runs"] == 2);
}
