#include "support/TestGateway.h"

#include <atomic>
#include <chrono>
#include <thread>

using namespace lacewing;

namespace {

using SteadyClock = std::chrono::steady_clock;

std::string Close(const std::string&, int)
{
  return ScriptedTarget::kCloseMarker;
}

} // namespace

// Guards against running a request twice that may run once at most: its target
// closes without an answer, after it may have run it.
TEST_CASE("gateway: a lost request that runs at most once is not repeated")
{
  GatewayTarget first(&Close);
  GatewayTarget second(&Close);
  TestGateway gateway({ &first, &second });
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "b")) == 502);
  CHECK(StatusOf(gateway.Call("POST", "/upload/x", "r2", "b")) == 502);
  CHECK(first.Runs() + second.Runs() == 2);
}

// Guards against giving up an idempotent request whose second target works.
TEST_CASE("gateway: a lost idempotent request goes to another target")
{
  GatewayTarget broken(&Close);
  GatewayTarget working(
    [](const std::string& aId, int) { return SignedResponse(aId, "ok"); });
  TestGateway gateway({ &broken, &working });
  for (int i = 0; i < 8; ++i) {
    CHECK(StatusOf(gateway.Call("GET", "/safe/x", "r" + std::to_string(i))) ==
          200);
  }
}

// Guards against going beyond the route's attempts.
TEST_CASE("gateway: a request reaches no more targets than its route allows")
{
  GatewayTarget a(&Close);
  GatewayTarget b(&Close);
  GatewayTarget c(&Close);
  TestGateway gateway({ &a, &b, &c });
  CHECK(StatusOf(gateway.Call("GET", "/safe/x", "r1")) == 502);
  CHECK(a.Runs() + b.Runs() + c.Runs() == 2);
}

// Guards against a refusal by one target that ends a request which another one
// would run.
TEST_CASE("gateway: a refused request that runs once goes to another target")
{
  GatewayTarget full([](const std::string& aId, int) {
    return "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nTest-Not-Run: 1\r\n"
           "Test-Id: " +
           aId + "\r\n\r\n";
  });
  GatewayTarget working(
    [](const std::string& aId, int) { return SignedResponse(aId, "ok"); });
  TestGateway gateway({ &full, &working });
  for (int i = 0; i < 6; ++i) {
    CHECK(StatusOf(gateway.Call(
            "POST", "/once/x", "r" + std::to_string(i), "b")) == 200);
  }
  CHECK(working.Runs() == 6);
}

// Guards against holding a caller beyond the route's timeout, and against
// answering "not run" then.
TEST_CASE("gateway: the final answer comes at the route's timeout")
{
  GatewayTarget unresponsive([](const std::string& aId, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    return SignedResponse(aId, "late");
  });
  TestGateway gateway({ &unresponsive }, std::chrono::milliseconds(300));
  const auto begin = SteadyClock::now();
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "b")) == 504);
  const auto elapsed = SteadyClock::now() - begin;
  CHECK(elapsed >= std::chrono::milliseconds(290));
  // The rules count half a second beyond the timeout as held.
  CHECK(elapsed < std::chrono::milliseconds(800));
}

// Guards against handing a target more time than the caller or the route has.
TEST_CASE("gateway: the target is told the time that is left")
{
  GatewayTarget target(
    [](const std::string& aId, int) { return SignedResponse(aId, "ok"); });
  TestGateway gateway({ &target }, std::chrono::milliseconds(700));
  gateway.Call("GET", "/safe/x", "r1");
  const std::string left =
    GatewayTarget::FieldOf(target.LastHead(), "Test-Deadline");
  REQUIRE(!left.empty());
  CHECK(std::stoi(left) <= 700);
  CHECK(std::stoi(left) > 0);
  CHECK(GatewayTarget::FieldOf(target.LastHead(), "Test-Expected") == "t0");
}

// Guards against sending a cold target more than this host's quota, and
// against refusing with a status that says the request may have run.
TEST_CASE("gateway: a cold target gets no request without a quota")
{
  GatewayTarget cold(
    [](const std::string& aId, int) { return SignedResponse(aId, "ok"); });
  cold.coldMs = 60000;
  TestGateway without({ &cold });
  CHECK(StatusOf(without.Call("GET", "/safe/x", "r1")) == 503);
  CHECK(cold.Runs() == 0);
  TestGateway with({ &cold }, std::chrono::seconds(2), 3);
  for (int i = 0; i < 6; ++i) {
    with.Call("GET", "/safe/x", "r" + std::to_string(i));
  }
  CHECK(cold.Runs() == 3);
}

// Guards against choosing by old readings: the probe right before the choice
// finds the slowed target.
TEST_CASE("gateway: a target that is slowed now gets no request")
{
  GatewayTarget slowed(
    [](const std::string& aId, int) { return SignedResponse(aId, "ok"); });
  GatewayTarget unslowed(
    [](const std::string& aId, int) { return SignedResponse(aId, "ok"); });
  slowed.slowdownPercent = 400;
  TestGateway gateway({ &slowed, &unslowed });
  for (int i = 0; i < 10; ++i) {
    gateway.Call("POST", "/once/x", "r" + std::to_string(i), "b");
  }
  CHECK(slowed.Runs() == 0);
  CHECK(unslowed.Runs() == 10);
}

// Guards against work that goes on for a caller who has left, and against
// cancelling work that cannot be repeated.
TEST_CASE("gateway: a caller who leaves cancels idempotent work only")
{
  std::atomic<bool> answered{ false };
  GatewayTarget target([&](const std::string& aId, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    answered = true;
    return SignedResponse(aId, "ok");
  });
  TestGateway gateway({ &target });
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("GET", "/safe/x", "r1"));
  std::this_thread::sleep_for(std::chrono::milliseconds(80));
  caller.Close();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const GatewayCounters counters = gateway.Counters();
  CHECK(counters.callersGone == 1);
  CHECK(counters.succeeded == 0);
}
