#include "support/RepeatingTarget.h"
#include "support/TestGateway.h"

using namespace lacewing;

namespace {

constexpr RefusalRepeat kRepeats[] = { RefusalRepeat::kSameSegment,
                                       RefusalRepeat::kLater,
                                       RefusalRepeat::kBeforeNextResponse };

/** Follows refused requests by ones that the target runs. */
void CheckRequestsAfterRefusals(RefusalRepeat aRepeat,
                                int aStatus,
                                bool aWithId)
{
  RepeatingTarget target(aRepeat, aStatus, aWithId);
  TestGateway gateway(target.Address(), kPatientObjective);
  // Bytes behind a refusal without an id may be the response to its request, so
  // it proves nothing.
  const int refused =
    aRepeat == RefusalRepeat::kSameSegment && !aWithId ? 502 : 503;
  for (int i = 0; i < 4; ++i) {
    const std::string number = std::to_string(i);
    CHECK(StatusOf(gateway.Call("POST", "/once/x", "refuse" + number, "b")) ==
          refused);
    const std::string id = "run" + number;
    const std::string response = gateway.Call("POST", "/once/x", id, "b");
    CAPTURE(i);
    CHECK(StatusOf(response) == 200);
    CHECK(response.find("ran " + id) != std::string::npos);
    CHECK(target.RunsOf(id) == 1);
  }
}

} // namespace

// Guards against taking a target's earlier refusal, written once more, for the
// refusal of the next request, which runs: its caller would be told "not run".
TEST_CASE("gateway: a repeated refusal does not end the next request")
{
  for (const RefusalRepeat repeat : kRepeats) {
    for (const int status : { 503, 421 }) {
      for (const bool withId : { true, false }) {
        CAPTURE(static_cast<int>(repeat));
        CAPTURE(status);
        CAPTURE(withId);
        CheckRequestsAfterRefusals(repeat, status, withId);
      }
    }
  }
}

// Guards against the same fault after a refused probe, since probes and
// requests share connections.
TEST_CASE("gateway: a probe's repeated refusal does not end the next request")
{
  for (const RefusalRepeat repeat : kRepeats) {
    CAPTURE(static_cast<int>(repeat));
    RepeatingTarget target(repeat, 503, false);
    TestGateway gateway(target.Address(), kPatientObjective);
    for (int i = 0; i < 4; ++i) {
      CAPTURE(i);
      target.probesToRefuse = 1;
      const std::string id = "run" + std::to_string(i);
      CHECK(StatusOf(gateway.Call("POST", "/once/x", id, "b")) == 200);
      CHECK(target.RunsOf(id) == 1);
    }
  }
}

// Guards against running a request a second time at another target because the
// first one repeated an earlier refusal.
TEST_CASE("gateway: a repeated refusal does not cause a second run")
{
  RepeatingTarget first(RefusalRepeat::kBeforeNextResponse, 503, false);
  RepeatingTarget second(RefusalRepeat::kBeforeNextResponse, 503, false);
  TestGateway gateway;
  gateway.ConfigureEndpoints({ first.Address(), second.Address() });
  int unanswered = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string number = std::to_string(i);
    gateway.Call("POST", "/once/x", "refuse" + number, "b");
    const std::string id = "run" + number;
    const int status = StatusOf(gateway.Call("POST", "/once/x", id, "b"));
    unanswered += status == 200 ? 0 : 1;
    CAPTURE(i);
    CHECK(first.RunsOf(id) + second.RunsOf(id) <= 1);
  }
  CHECK(unanswered == 0);
}

// Guards against taking a refusal without an id for proof when the target
// writes a further response to the same request.
TEST_CASE("gateway: a refusal with a response behind it proves nothing")
{
  GatewayTarget target([](const std::string& aId, int) {
    return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nTest-Not-Run: 1\r\n\r\n" +
           SignedResponse(aId, "ran");
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "b")) == 502);
  CHECK(target.Runs() == 1);
}

// Guards against passing on the failure of another request: behind a response
// with another request's id, one without an id belongs to no certain request.
TEST_CASE(
  "gateway: an unidentified failure after a foreign response is dropped")
{
  GatewayTarget target([](const std::string&, int) {
    return SignedResponse("earlier", "wrong") +
           "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "b")) == 502);
}

// Guards against the opposite fault: a refusal without an id on a connection
// that served requests before is proof, so the request runs at another target.
TEST_CASE("gateway: a refusal without an id is retried at another target")
{
  RepeatingTarget refusing(RefusalRepeat::kNever, 503, false);
  RepeatingTarget serving(RefusalRepeat::kNever, 503, false);
  TestGateway gateway;
  gateway.ConfigureEndpoints({ refusing.Address(), serving.Address() });
  for (int i = 0; i < 10; ++i) {
    gateway.Call("GET", "/safe/x", "warm" + std::to_string(i));
  }
  refusing.refusesAll = true;
  for (int i = 0; i < 10; ++i) {
    const std::string id = "run" + std::to_string(i);
    CHECK(StatusOf(gateway.Call("POST", "/once/x", id, "b")) == 200);
    CHECK(serving.RunsOf(id) == 1);
  }
}

// Guards against opening a connection for each request.
TEST_CASE("gateway: connections that refused nothing are kept")
{
  RepeatingTarget target(RefusalRepeat::kNever, 503, false);
  TestGateway gateway(target.Address(), kPatientObjective);
  for (int i = 0; i < 30; ++i) {
    const std::string id = "run" + std::to_string(i);
    CHECK(StatusOf(gateway.Call("POST", "/once/x", id, "b")) == 200);
  }
  CHECK(target.Connections() <= 2);
}
