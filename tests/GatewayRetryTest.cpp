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

// Guards against running a non-idempotent request twice: the target closes the
// connection without a response and may already have run the request.
TEST_CASE("gateway: a lost request that may run at most once is not retried")
{
  GatewayTarget first(&Close);
  GatewayTarget second(&Close);
  TestGateway gateway({ &first, &second });
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "b")) == 502);
  CHECK(StatusOf(gateway.Call("POST", "/upload/x", "r2", "b")) == 502);
  CHECK(first.Runs() + second.Runs() == 2);
}

// Guards against failing an idempotent request that a second target could
// serve.
TEST_CASE("gateway: a lost idempotent request is retried at another target")
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

// Guards against more attempts than the route's maximum.
TEST_CASE("gateway: a request reaches no more targets than its route allows")
{
  GatewayTarget a(&Close);
  GatewayTarget b(&Close);
  GatewayTarget c(&Close);
  TestGateway gateway({ &a, &b, &c });
  CHECK(StatusOf(gateway.Call("GET", "/safe/x", "r1")) == 502);
  CHECK(a.Runs() + b.Runs() + c.Runs() == 2);
}

// Guards against failing a request that one target refused without running it
// and that another target would run.
TEST_CASE("gateway: a refused at-most-once request goes to another target")
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
// reporting the request as not run at that point.
TEST_CASE("gateway: the final response is sent at the route's timeout")
{
  GatewayTarget unresponsive([](const std::string& aId, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    return SignedResponse(aId, "late");
  });
  TestGateway gateway(unresponsive.Address(), kPatientObjective);
  gateway.ConfigureEndpoints({ unresponsive.Address() },
                             std::chrono::milliseconds(300));
  const auto begin = SteadyClock::now();
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "b")) == 504);
  const auto elapsed = SteadyClock::now() - begin;
  CHECK(elapsed >= std::chrono::milliseconds(290));
  // The rules count a request as held when it takes half a second longer than
  // the timeout.
  CHECK(elapsed < std::chrono::milliseconds(800));
}

// Guards against giving a target more time than the caller's or the route's
// timeout leaves.
TEST_CASE("gateway: the remaining time is sent to the target")
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

// Guards against sending a cold target more requests than this host's quota,
// and against refusing with a status that means the request may have run.
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

// Guards against choosing a target by outdated load readings: the probe right
// before the choice has to detect the slowed target.
TEST_CASE("gateway: a target that is slow at the moment gets no request")
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

// Guards against continuing an idempotent request whose caller has
// disconnected, and against cancelling one that cannot be retried.
TEST_CASE("gateway: a caller's disconnect cancels only idempotent requests")
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
  CHECK(counters.callerDisconnects == 1);
  CHECK(counters.succeeded == 0);
}

// Guards against probing several targets for a load that they do not report.
TEST_CASE("gateway: one probe a request where targets report no load")
{
  const auto respond = [](const std::string& aId, int) {
    return SignedResponse(aId, "ok");
  };
  GatewayTarget first(respond);
  GatewayTarget second(respond);
  first.reportsLoad = false;
  second.reportsLoad = false;
  TestGateway gateway({ &first, &second });
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    CHECK(StatusOf(gateway.Call("GET", "/safe/x", "r" + std::to_string(i))) ==
          200);
  }
  // The first searches do not know yet that the targets report no load.
  CHECK(gateway.Counters().probes <= kRequests + 4);
  CHECK(first.Runs() + second.Runs() == kRequests);
}
