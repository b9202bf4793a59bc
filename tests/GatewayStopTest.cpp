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
  TestGateway gateway(target.Address(), kPatientObjective);
  gateway.Configure({});
  RawCaller caller(gateway.Port());
  caller.Send(TestGateway::Request("POST", "/once/x", "r1", "b"));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  caller.Close();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  gateway.Configure({ &target });
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  CHECK(target.Runs() == 0);
  CHECK(gateway.Counters().callerDisconnects == 1);
}
