#include "support/TestGateway.h"

#include <atomic>
#include <thread>

using namespace lacewing;

namespace {

std::string RespondOk(const std::string& aId, int)
{
  return SignedResponse(aId, "ok " + aId);
}

/** Asks the gateway to stop listening if it is quiet; returns its answer. */
bool CloseIfQuiet(TestGateway& aGateway, Duration aQuiet = Duration(0))
{
  std::promise<bool> closed;
  aGateway.Get().CloseIfQuiet(
    aQuiet, [&closed](bool aClosed) { closed.set_value(aClosed); });
  return closed.get_future().get();
}

/** Keeps the connection open and never answers. */
std::string NeverRespond(const std::string&, int)
{
  return ScriptedTarget::kDelayMarker;
}

// The sockets of both sides hold less than this while nobody reads.
constexpr std::size_t kUnbufferedSize = 8U << 20U;

/** Waits until the condition holds; false after 2 s. */
template<class Condition>
bool Within2s(Condition aCondition)
{
  const TimePoint end = MonotonicClock().Now() + std::chrono::seconds(2);
  while (!aCondition() && MonotonicClock().Now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return aCondition();
}

TimePoint After(Duration aDelay)
{
  return MonotonicClock().Now() + aDelay;
}

/** Ends the gateway as a host process does whose drain ends at aEnd. */
DrainResult StopAt(TestGateway& aGateway, TimePoint aEnd)
{
  std::promise<DrainResult> ended;
  aGateway.Get().BeginDrain(
    aEnd, [&ended](const DrainResult& aResult) { ended.set_value(aResult); });
  const DrainResult result = ended.get_future().get();
  CHECK(aGateway.Counters().unansweredStop == 0);
  aGateway.End();
  return result;
}

} // namespace

// Guards against a leak: an attempt's connection held its request, and a
// probe's its search, each of which held the connection. Seen by the address
// sanitizer's build.
TEST_CASE("gateway: ending with requests in progress frees them")
{
  GatewayTarget slow([](const std::string& aId, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    return SignedResponse(aId, "late");
  });
  std::vector<std::unique_ptr<RawCaller>> callers;
  {
    TestGateway gateway(slow.Address(), kPatientObjective);
    for (const char* path : { "/safe/x", "/once/x", "/upload/x" }) {
      callers.push_back(std::make_unique<RawCaller>(gateway.Port()));
      callers.back()->Send(TestGateway::Request("POST", path, path, "b"));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  }
  for (const auto& caller : callers) {
    CHECK(caller->ReadToEnd(std::chrono::milliseconds(100)).empty());
  }
}

// Guards against a planned stop that cuts off a request which the kernel had
// accepted just before: the stop decided on a count that did not include it.
TEST_CASE("gateway: an accepted connection keeps a stopping gateway open")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  const std::uint16_t port = gateway.Port();
  std::atomic<bool> release{ false };
  gateway.Occupy(release);
  RawCaller caller(port);
  caller.Send(TestGateway::Request("GET", "/safe/a", "r1"));
  std::thread releaser([&release] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    release = true;
  });
  CHECK(!CloseIfQuiet(gateway));
  releaser.join();
  CHECK(caller.ReadUntil("ok r1").find("ok r1") != std::string::npos);
}

// Guards against the same on a kept connection whose next request has arrived
// and was not read yet.
TEST_CASE("gateway: an unread request keeps a stopping gateway open")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("GET", "/safe/a", "r1"));
  caller.ReadUntil("ok r1");
  std::atomic<bool> release{ false };
  gateway.Occupy(release);
  caller.Send(TestGateway::Request("GET", "/safe/a", "r2"));
  std::thread releaser([&release] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    release = true;
  });
  CHECK(!CloseIfQuiet(gateway));
  releaser.join();
  CHECK(caller.ReadUntil("ok r2").find("ok r2") != std::string::npos);
}

// Guards against a stopping host that never ends, and against one that ends
// while callers still come.
TEST_CASE("gateway: a quiet gateway stops listening")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  const std::uint16_t port = gateway.Port();
  RawCaller kept(port);
  kept.Send(TestGateway::Request("GET", "/safe/a", "r1"));
  kept.ReadUntil("ok r1");
  CHECK(!CloseIfQuiet(gateway, std::chrono::hours(1)));
  CHECK(CloseIfQuiet(gateway));
  CHECK(CloseIfQuiet(gateway));
  kept.ReadToEnd();
  CHECK(kept.Closed());
  CHECK_THROWS(RawCaller(port));
}

// Guards against sending a request that runs at most once for a caller who
// left while it still waited for a target.
TEST_CASE("gateway: a caller who left no longer waits for a target")
{
  GatewayTarget target(&RespondOk);
  // Waits for a target for as long as its deadline allows.
  TestGateway gateway(target.Address(), std::chrono::seconds(60));
  gateway.Configure({});
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/x", "r1", "b"));
  REQUIRE(Within2s([&] { return gateway.Counters().requests == 1; }));
  caller.Close();
  REQUIRE(Within2s([&] { return gateway.Counters().callerDisconnects == 1; }));
  gateway.Configure({ &target });
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  CHECK(target.Runs() == 0);
  CHECK(gateway.Counters().callerDisconnects == 1);
}

// Guards against a planned stop that cuts requests without an answer: those
// still open at its end, among them requests that run at most once.
TEST_CASE("gateway: a request that is open at a drain's end gets 502")
{
  GatewayTarget target(&NeverRespond);
  TestGateway gateway(target.Address(), kPatientObjective);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (const char* path : { "/safe/x", "/once/x", "/upload/x" }) {
    callers.push_back(std::make_unique<RawCaller>(gateway.Port()));
    callers.back()->Send(TestGateway::Request("POST", path, path, "b"));
  }
  REQUIRE(Within2s([&] { return target.Runs() == 3; }));
  const DrainResult result =
    StopAt(gateway, After(std::chrono::milliseconds(50)));
  CHECK(result.open == 3);
  CHECK(result.unknown == 3);
  CHECK(result.unwritten == 0);
  for (const auto& caller : callers) {
    const std::string response = caller->ReadToEnd();
    CHECK(StatusOf(response) == 502);
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(response.find("Retry-After") == std::string::npos);
  }
}

// Guards against the same while a request waits for a target: it was not sent,
// so it must be refused as not run, and must not be sent later.
TEST_CASE("gateway: a request that waits at a drain's end is refused")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.Configure({});
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/x", "r1", "b"));
  REQUIRE(Within2s([&] { return gateway.Counters().requests == 1; }));
  const DrainResult result =
    StopAt(gateway, After(std::chrono::milliseconds(100)));
  CHECK(result.open == 1);
  CHECK(result.refused == 1);
  const std::string response = caller.ReadToEnd();
  CHECK(StatusOf(response) == 503);
  CHECK(response.find("Retry-After") != std::string::npos);
  CHECK(target.Runs() == 0);
}

// Guards against requests that reach a stopping host at the last moment, on a
// new or a kept connection, and see it close without an answer.
TEST_CASE("gateway: requests that wait to be read at a drain's end are refused")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller kept(gateway.Port());
  kept.Send(TestGateway::Request("GET", "/safe/a", "r1"));
  kept.ReadUntil("ok r1");
  std::atomic<bool> release{ false };
  gateway.Occupy(release);
  kept.Send(TestGateway::Request("POST", "/once/a", "r2", "b"));
  RawCaller fresh(gateway.Port());
  fresh.Send(TestGateway::Request("POST", "/once/a", "r3", "b"));
  std::thread releaser([&release] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    release = true;
  });
  StopAt(gateway, After(std::chrono::milliseconds(50)));
  releaser.join();
  CHECK(StatusOf(kept.ReadToEnd()) == 503);
  CHECK(StatusOf(fresh.ReadToEnd()) == 503);
  CHECK(target.Runs() == 1);
}

// Guards against a connection that was opened just before a drain's end and is
// closed before its first request has arrived.
TEST_CASE("gateway: a first request right after a drain's end is refused")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller caller(gateway.Port());
  const TimePoint end = After(std::chrono::milliseconds(50));
  std::thread sender([&caller, end] {
    std::this_thread::sleep_until(end + std::chrono::milliseconds(10));
    caller.Send(TestGateway::Request("POST", "/once/a", "r1", "b"));
  });
  StopAt(gateway, end);
  sender.join();
  CHECK(StatusOf(caller.ReadToEnd()) == 503);
  CHECK(target.Runs() == 0);
}

// Guards against an answer in place of the target's, which had arrived before
// the drain's end while the thread was busy.
TEST_CASE("gateway: an answer that has arrived is delivered at a drain's end")
{
  GatewayTarget target([](const std::string& aId, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return SignedResponse(aId, "ok " + aId);
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r1", "b"));
  REQUIRE(Within2s([&] { return target.Runs() == 1; }));
  std::atomic<bool> release{ false };
  const TimePoint end = After(std::chrono::milliseconds(150));
  std::thread releaser([&release, end] {
    std::this_thread::sleep_until(end + std::chrono::milliseconds(50));
    release = true;
  });
  gateway.Occupy(release);
  StopAt(gateway, end);
  releaser.join();
  CHECK(caller.ReadToEnd().find("ok r1") != std::string::npos);
}

// Guards against a request whose deadline is before the drain's end and that is
// cut because the thread is late for both.
TEST_CASE("gateway: a deadline before a drain's end is kept by a late thread")
{
  GatewayTarget target(&NeverRespond);
  TestGateway gateway({ &target }, std::chrono::milliseconds(400));
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r1", "b"));
  REQUIRE(Within2s([&] { return target.Runs() == 1; }));
  std::atomic<bool> release{ false };
  const TimePoint end = After(std::chrono::milliseconds(450));
  std::thread releaser([&release, end] {
    std::this_thread::sleep_until(end + std::chrono::milliseconds(50));
    release = true;
  });
  gateway.Occupy(release);
  CHECK(StopAt(gateway, end).open == 0);
  releaser.join();
  CHECK(StatusOf(caller.ReadToEnd()) == 504);
}

// Guards against a count of cut callers that includes those who had left.
TEST_CASE("gateway: a drain's end counts a request without its caller apart")
{
  GatewayTarget target([](const std::string& aId, int) {
    return aId == "r1" ? SignedResponse(aId, "ok") : NeverRespond(aId, 0);
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("GET", "/safe/a", "r1"));
  caller.Send(TestGateway::Request("POST", "/once/a", "r2", "b"));
  REQUIRE(Within2s([&] { return target.Runs() == 2; }));
  // Closing with an unread response resets the connection.
  caller.Close();
  REQUIRE(Within2s([&] { return gateway.Counters().callerDisconnects == 1; }));
  const DrainResult result = StopAt(gateway, After(Duration(0)));
  CHECK(result.open == 1);
  CHECK(result.abandoned == 1);
  CHECK(result.unknown == 0);
}

// Guards against an answer that breaks off because the gateway ends before it
// is written.
TEST_CASE("gateway: an answer is written to its end at a drain's end")
{
  const std::string body(kUnbufferedSize, 'x');
  GatewayTarget target([&body](const std::string& aId, int) {
    return SignedResponse(aId, body + "ok " + aId);
  });
  TestGateway gateway(
    target.Address(), kPatientObjective, ByteCount(64U << 20U));
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r1", "b"));
  REQUIRE(Within2s([&] { return gateway.Counters().succeeded == 1; }));
  const TimePoint end = After(std::chrono::milliseconds(50));
  std::future<std::string> response = std::async(std::launch::async, [&] {
    std::this_thread::sleep_until(end);
    return caller.ReadToEnd();
  });
  StopAt(gateway, end);
  CHECK(response.get().find("ok r1") != std::string::npos);
}

// Guards against a stop that never ends because a caller does not read its
// answer, and against one that does not tell of it.
TEST_CASE("gateway: a drain ends although a caller does not read")
{
  const std::string body(kUnbufferedSize, 'x');
  GatewayTarget target(
    [&body](const std::string& aId, int) { return SignedResponse(aId, body); });
  TestGateway gateway(
    target.Address(), kPatientObjective, ByteCount(64U << 20U));
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r1", "b"));
  REQUIRE(Within2s([&] { return gateway.Counters().succeeded == 1; }));
  const DrainResult result = StopAt(gateway, After(Duration(0)));
  CHECK(result.open == 0);
  CHECK(result.unwritten == 1);
}

// Guards against a stop that goes on until the end that was set first.
TEST_CASE("gateway: the end of a drain in progress can be moved")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  std::promise<void> ended;
  gateway.Get().BeginDrain(After(std::chrono::hours(1)),
                           [&ended](const DrainResult&) { ended.set_value(); });
  gateway.Get().SetDrainEnd(After(std::chrono::milliseconds(50)));
  CHECK(ended.get_future().wait_for(std::chrono::seconds(5)) ==
        std::future_status::ready);
}

// Guards against a host process that ends for want of requests while the
// answers of the last ones are still being written.
TEST_CASE("gateway: a gateway whose drain has ended is not closed as quiet")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller partial(gateway.Port());
  partial.Send("POST /once/x HTTP/1.1\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  std::promise<void> ended;
  gateway.Get().BeginDrain(After(Duration(0)),
                           [&ended](const DrainResult&) { ended.set_value(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(!CloseIfQuiet(gateway));
  ended.get_future().get();
}

// Guards against ending a request whose answer has arrived, when more sockets
// are ready than asio handles before the expired timers (128).
TEST_CASE("gateway: a drain's end delivers an answer behind many events")
{
  GatewayTarget target([](const std::string& aId, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return SignedResponse(aId, "ok " + aId);
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  std::vector<std::unique_ptr<RawCaller>> crowd;
  for (int i = 0; i < 300; ++i) {
    crowd.push_back(std::make_unique<RawCaller>(gateway.Port()));
  }
  REQUIRE(Within2s([&] { return gateway.Counters().connections >= 300; }));
  RawCaller caller(gateway.Port());
  RawCaller other(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r1", "b"));
  REQUIRE(Within2s([&] { return target.Runs() == 1; }));
  const TimePoint end = After(std::chrono::milliseconds(250));
  std::promise<DrainResult> ended;
  gateway.Get().BeginDrain(
    end, [&](const DrainResult& aResult) { ended.set_value(aResult); });
  // Its deadline makes the thread poll before the drain's end.
  other.Send("GET /safe/b HTTP/1.1\r\nHost: test\r\nTest-Id: r0\r\n"
             "Test-Deadline: 20\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  std::atomic<bool> release{ false };
  gateway.Occupy(release);
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  for (const auto& each : crowd) {
    each->Send("G");
  }
  std::this_thread::sleep_until(end + std::chrono::milliseconds(50));
  release = true;
  CHECK(ended.get_future().get().unknown == 0);
  CHECK(caller.ReadToEnd().find("ok r1") != std::string::npos);
}
