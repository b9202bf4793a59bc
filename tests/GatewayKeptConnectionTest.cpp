#include "support/TestGateway.h"

#include <atomic>
#include <chrono>
#include <thread>

using namespace lacewing;

namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(300);
// The traffic thread is busy for longer than the timeout.
constexpr Duration kBusy = std::chrono::milliseconds(400);

std::string RespondOk(const std::string& aId, int)
{
  return SignedResponse(aId, "ok " + aId);
}

/** Sends aBytes at once, while the traffic thread is busy beyond a timeout. */
void SendToBusyGateway(TestGateway& aGateway,
                       RawCaller& aCaller,
                       const std::string& aBytes)
{
  std::atomic<bool> release{ false };
  aGateway.Occupy(release);
  aCaller.Send(aBytes);
  std::this_thread::sleep_for(kBusy);
  release = true;
  // Returns after the handler that reads the flag above.
  aGateway.Counters();
}

/** Waits until a request has reached aTarget. */
template<class Target>
void WaitForRun(const Target& aTarget)
{
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (aTarget.Runs() == 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  REQUIRE(aTarget.Runs() > 0);
}

/** Checks that the request r2 ran and that its caller got the answer. */
void CheckAnswered(TestGateway& aGateway, RawCaller& aCaller)
{
  CHECK(aCaller.ReadUntil("ok r2").find("ok r2") != std::string::npos);
  CHECK(aGateway.Counters().unansweredTimeout == 0);
}

} // namespace

// Guards against closing a kept connection for its idle timeout while its next
// request, which arrived in time, is in progress.
TEST_CASE("gateway: an idle timeout does not end the next request")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.SetCallerTimeouts(kTimeout);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r1", "b"));
  REQUIRE(caller.ReadUntil("ok r1").find("ok r1") != std::string::npos);
  SendToBusyGateway(
    gateway, caller, TestGateway::Request("POST", "/once/a", "r2", "b"));
  CheckAnswered(gateway, caller);
}

// Guards against the same for the timeout of a request's head.
TEST_CASE("gateway: a head timeout does not end a request read in time")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.SetCallerTimeouts(kTimeout);
  const std::string request =
    TestGateway::Request("POST", "/once/a", "r2", "b");
  RawCaller caller(gateway.Port());
  caller.Send(request.substr(0, 20));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  SendToBusyGateway(gateway, caller, request.substr(20));
  CheckAnswered(gateway, caller);
}

// Guards against the same for the timeout of a request's body.
TEST_CASE("gateway: a body timeout does not end a request read in time")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.SetCallerTimeouts(kTimeout);
  const std::string request =
    TestGateway::Request("POST", "/upload/a", "r2", "body");
  RawCaller caller(gateway.Port());
  caller.Send(request.substr(0, request.size() - 2));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  SendToBusyGateway(gateway, caller, request.substr(request.size() - 2));
  CheckAnswered(gateway, caller);
}

// Guards against closing a connection on which a request has arrived but was
// not read yet when the handler of the idle timeout runs.
TEST_CASE("gateway: an idle timeout reads a request that has arrived")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.SetCallerTimeouts(kTimeout);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("GET", "/safe/a", "r1"));
  REQUIRE(caller.ReadUntil("ok r1").find("ok r1") != std::string::npos);
  // The second handler is queued before the thread polls, which queues the
  // expired timer behind it; the request arrives after that poll.
  std::atomic<bool> first{ false };
  std::atomic<bool> second{ false };
  gateway.Occupy(first);
  std::thread releaser([&first] {
    std::this_thread::sleep_for(kBusy);
    first = true;
  });
  gateway.Occupy(second);
  releaser.join();
  caller.Send(TestGateway::Request("GET", "/safe/a", "r2"));
  second = true;
  gateway.Counters();
  CheckAnswered(gateway, caller);
}

// Guards against closing connections at a limit that the configuration has
// raised since they became idle.
TEST_CASE("gateway: a raised idle timeout holds for idle connections")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.SetCallerTimeouts(kTimeout);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("GET", "/safe/a", "r1"));
  REQUIRE(caller.ReadUntil("ok r1").find("ok r1") != std::string::npos);
  gateway.SetCallerTimeouts(std::chrono::seconds(30));
  std::this_thread::sleep_for(2 * kTimeout);
  caller.Send(TestGateway::Request("GET", "/safe/a", "r2"));
  CheckAnswered(gateway, caller);
}

// Guards against refusing requests by the limits that were in force when their
// connection was opened or its last response was written (CONFIG and DENIED on
// review/3).
TEST_CASE("gateway: raised limits hold for connections that are open")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  CallerLimits limits;
  limits.maxHead = ByteCount(400);
  limits.maxBody = ByteCount(100);
  gateway.SetCallerLimits(limits);
  RawCaller unused(gateway.Port());
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r1", "b"));
  REQUIRE(caller.ReadUntil("ok r1").find("ok r1") != std::string::npos);
  gateway.SetCallerLimits(CallerLimits());
  const std::string request =
    TestGateway::Request("POST",
                         "/once/a",
                         "r2",
                         std::string(5000, 'b'),
                         "X: " + std::string(500, 'x') + "\r\n");
  for (RawCaller* each : { &caller, &unused }) {
    each->Send(request);
    CHECK(each->ReadUntil("ok r2").find("ok r2") != std::string::npos);
  }
}

// Guards against a lowered limit that holds only for new connections.
TEST_CASE("gateway: lowered limits hold for connections that are open")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r1", "b"));
  REQUIRE(caller.ReadUntil("ok r1").find("ok r1") != std::string::npos);
  CallerLimits limits;
  limits.maxBody = ByteCount(100);
  gateway.SetCallerLimits(limits);
  caller.Send(
    TestGateway::Request("POST", "/once/a", "r2", std::string(5000, 'b')));
  CHECK(caller.ReadUntil("\r\n").find(" 413 ") != std::string::npos);
}

// Guards against keeping connections open that are idle for too long.
TEST_CASE("gateway: an idle connection is closed at its timeout")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.SetCallerTimeouts(kTimeout);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("GET", "/safe/a", "r1"));
  REQUIRE(caller.ReadUntil("ok r1").find("ok r1") != std::string::npos);
  caller.ReadToEnd();
  CHECK(caller.Closed());
  CHECK(gateway.Counters().unansweredTimeout == 0);
}

// Guards against dropping the answer of a request that was passed on, because
// its caller ended only the sending side of the connection.
TEST_CASE("gateway: a half-closed caller gets the answer of its request")
{
  GatewayTarget target([](const std::string& aId, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return SignedResponse(aId, "ok " + aId);
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r2", "b"));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  caller.EndSending();
  CHECK(caller.ReadToEnd().find("ok r2") != std::string::npos);
  CHECK(caller.Closed());
  CHECK(gateway.Counters().unansweredTimeout == 0);
}

// Guards against sending a request whose caller left long before, because the
// thread was too busy to read either.
TEST_CASE("gateway: a request of a caller that left before it is not sent")
{
  GatewayTarget target(&RespondOk);
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller caller(gateway.Port());
  gateway.Counters();
  std::atomic<bool> release{ false };
  gateway.Occupy(release);
  caller.Send(TestGateway::Request("POST", "/once/a", "r1", "b"));
  caller.EndSending();
  std::this_thread::sleep_for(2 * kBusy);
  release = true;
  CHECK(StatusOf(caller.ReadToEnd()) == 503);
  CHECK(target.Runs() == 0);
}

// Guards against a connection that closes without any answer when a request
// that may be repeated is cancelled, since its caller may only have ended the
// sending side.
TEST_CASE("gateway: a half-closed caller is told of a cancelled request")
{
  GatewayTarget target([](const std::string& aId, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    return SignedResponse(aId, "ok " + aId);
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("GET", "/safe/a", "r1"));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  caller.EndSending();
  CHECK(StatusOf(caller.ReadToEnd(std::chrono::milliseconds(300))) == 502);
  CHECK(gateway.Counters().callerDisconnects == 1);
}

// Guards against telling the caller of a timeout although the target's answer
// had arrived before the deadline.
TEST_CASE("gateway: an answer that has arrived is delivered at the deadline")
{
  GatewayTarget target([](const std::string& aId, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return SignedResponse(aId, "ok " + aId);
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.ConfigureEndpoints({ target.Address() }, kTimeout);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r2", "b"));
  WaitForRun(target);
  std::atomic<bool> release{ false };
  gateway.Occupy(release);
  std::this_thread::sleep_for(kBusy);
  release = true;
  CheckAnswered(gateway, caller);
}

// Guards against the same for an answer that takes several reads.
TEST_CASE("gateway: a large answer that has arrived is read at the deadline")
{
  // More than a connection reads in one step, less than the kernel holds.
  const std::string body(48U << 10U, 'x');
  GatewayTarget target([&body](const std::string& aId, int) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return SignedResponse(aId, body + "ok " + aId);
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.ConfigureEndpoints({ target.Address() }, kTimeout);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r2", "b"));
  WaitForRun(target);
  std::atomic<bool> release{ false };
  gateway.Occupy(release);
  std::this_thread::sleep_for(kBusy);
  release = true;
  CheckAnswered(gateway, caller);
}

// Guards against sending a request that may run only once on a connection
// whose close has arrived but was not read yet, since its outcome would then be
// unknown.
TEST_CASE("gateway: a request is not sent on a connection that was closed")
{
  std::atomic<bool> occupied{ false };
  const ScriptedTarget target([&](int aNumber, const std::string& aRequest) {
    if (aRequest.rfind("GET /health ", 0) != 0) {
      return SignedResponse("r2", "ok r2");
    }
    const std::string health =
      OkResponse("", "Test-Load: 0,0,6,100\r\nTest-Cold: 0\r\n");
    if (aNumber > 1) {
      return health;
    }
    while (!occupied) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return health + ScriptedTarget::kCloseMarker;
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r2", "b"));
  WaitForRun(target);
  std::atomic<bool> release{ false };
  gateway.Occupy(release);
  occupied = true;
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  release = true;
  CheckAnswered(gateway, caller);
}

// Guards against handing a target a request whose deadline has passed while the
// thread was busy: the time that is left would be zero or less.
TEST_CASE("gateway: a request is not sent after its deadline")
{
  std::atomic<bool> occupied{ false };
  std::atomic<int> requests{ 0 };
  const ScriptedTarget target([&](int, const std::string& aRequest) {
    if (aRequest.rfind("GET /health ", 0) != 0) {
      ++requests;
      return SignedResponse("r2", "ok r2");
    }
    while (!occupied) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return OkResponse("", "Test-Load: 0,0,6,100\r\nTest-Cold: 0\r\n");
  });
  TestGateway gateway(target.Address(), std::chrono::seconds(60));
  gateway.ConfigureEndpoints({ target.Address() }, kTimeout);
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/a", "r2", "b"));
  WaitForRun(target);
  std::atomic<bool> release{ false };
  gateway.Occupy(release);
  occupied = true;
  std::this_thread::sleep_for(kBusy);
  release = true;
  CHECK(StatusOf(caller.ReadUntil("\r\n\r\n")) == 503);
  CHECK(requests == 0);
}
