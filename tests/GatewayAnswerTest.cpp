#include "support/TestGateway.h"

#include <thread>

using namespace lacewing;

// Guards against delivering a response to the wrong request: a target that
// responds twice sends the second response where the gateway expects the one to
// the next request.
TEST_CASE("gateway: a duplicate response never reaches the next request")
{
  GatewayTarget target([](const std::string& aId, int) {
    return SignedResponse(aId, "for " + aId) +
           SignedResponse(aId, "again " + aId);
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string response = gateway.Call("GET", "/safe/x", id);
    CHECK(StatusOf(response) == 200);
    CHECK(response.find("for " + id) != std::string::npos);
    CHECK(response.find("again") == std::string::npos);
  }
}

// Guards against delivering a late response to an earlier request: the gateway
// has to read on until the response with the current request's id arrives.
TEST_CASE("gateway: a response with another request's id is discarded")
{
  GatewayTarget target([](const std::string& aId, int) {
    return SignedResponse("earlier", "wrong") + SignedResponse(aId, "right");
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  const std::string response = gateway.Call("POST", "/once/x", "r1", "body");
  CHECK(StatusOf(response) == 200);
  CHECK(response.find("right") != std::string::npos);
  CHECK(response.find("wrong") == std::string::npos);
  CHECK(target.Runs() == 1);
}

// Guards against passing on a truncated response as if it were complete.
TEST_CASE("gateway: a truncated response is not a success")
{
  GatewayTarget target([](const std::string& aId, int) {
    const std::string complete = SignedResponse(aId, "0123456789");
    return complete.substr(0, complete.size() - 4) +
           ScriptedTarget::kCloseMarker;
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "body")) == 502);
  CHECK(target.Runs() == 1);
}

// Guards against rejecting a complete response that has no length and ends when
// the target closes the connection.
TEST_CASE(
  "gateway: a response without a length is complete at an orderly close")
{
  GatewayTarget target([](const std::string& aId, int) {
    return "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nTest-Id: " + aId +
           "\r\n\r\nunframed" + ScriptedTarget::kCloseMarker;
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  const std::string response = gateway.Call("GET", "/safe/x", "r1");
  CHECK(StatusOf(response) == 200);
  CHECK(response.find("Content-Length: 8\r\n") != std::string::npos);
  CHECK(response.find("unframed") != std::string::npos);
}

// Guards against accepting a success response without the target's signature,
// or with an encoded body, which is not the body that the target sent.
TEST_CASE("gateway: a success needs a signature and an unencoded body")
{
  GatewayTarget unsignedTarget([](const std::string& aId, int) {
    return OkResponse("x", "Test-Id: " + aId + "\r\n");
  });
  TestGateway first(unsignedTarget.Address(), kPatientObjective);
  CHECK(StatusOf(first.Call("POST", "/once/x", "r1", "b")) == 502);
  GatewayTarget coded([](const std::string& aId, int) {
    return OkResponse("x",
                      "Test-Id: " + aId +
                        "\r\nTest-Signature: s\r\nContent-Encoding: gzip\r\n");
  });
  TestGateway second(coded.Address(), kPatientObjective);
  CHECK(StatusOf(second.Call("POST", "/once/x", "r1", "b")) == 502);
}

// Guards against a body behind a status that has none: its bytes would stand
// where the caller expects the next response.
TEST_CASE("gateway: a body of a 204 or 304 does not reach the caller")
{
  for (const char* status : { "204 No Content", "304 Not Modified" }) {
    for (const char* body : { "Content-Length: 6\r\n\r\nunsent",
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "6\r\nunsent\r\n0\r\n\r\n",
                              "\r\nunsent\x01" }) {
      CAPTURE(status);
      CAPTURE(body);
      GatewayTarget target([&](const std::string& aId, int aRequest) {
        return aRequest > 1
                 ? SignedResponse(aId, "second")
                 : std::string("HTTP/1.1 ") + status + "\r\nTest-Id: " + aId +
                     "\r\nTest-Signature: s\r\n" + body;
      });
      TestGateway gateway(target.Address(), kPatientObjective);
      RawCaller caller(gateway.Port());
      caller.Send(TestGateway::Request("POST", "/once/x", "r1", "b"));
      std::string received = caller.ReadUntil("\r\n\r\n");
      CHECK(received.rfind(std::string("HTTP/1.1 ") + status, 0) == 0);
      caller.Send(TestGateway::Request("POST", "/once/x", "r2", "b"));
      received += caller.ReadUntil("second");
      CHECK(received.find("second") != std::string::npos);
      CHECK(received.find("unsent") == std::string::npos);
    }
  }
}

// Guards against waiting for the body whose length a 304 may state although it
// has none.
TEST_CASE("gateway: a 304 that states a length is whole at once")
{
  GatewayTarget target([](const std::string& aId, int) {
    return "HTTP/1.1 304 Not Modified\r\nContent-Length: 6\r\nTest-Id: " + aId +
           "\r\nTest-Signature: s\r\n\r\n";
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "b")) == 304);
}

// Guards against taking a field of the trailer, which is sent after the body,
// for a field of the head.
TEST_CASE("gateway: a trailer neither signs a response nor says it was not run")
{
  for (const char* status : { "200 OK", "503 Busy" }) {
    CAPTURE(status);
    GatewayTarget target([status](const std::string& aId, int) {
      return std::string("HTTP/1.1 ") + status + "\r\nTest-Id: " + aId +
             "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
             "Test-Signature: s\r\nTest-Not-Run: 1\r\nT: t\r\n\r\n";
    });
    TestGateway gateway(target.Address(), kPatientObjective);
    CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "b")) == 502);
    CHECK(target.Runs() == 1);
  }
}

// Guards against reporting a request as not run when no target has said so: a
// request that ended with a 503 without the not-run field may have run.
TEST_CASE("gateway: only a refusal marked as not run is passed on as such")
{
  GatewayTarget unmarked([](const std::string& aId, int) {
    return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nTest-Id: " + aId +
           "\r\n\r\n";
  });
  TestGateway first(unmarked.Address(), kPatientObjective);
  CHECK(StatusOf(first.Call("POST", "/once/x", "r1", "b")) == 502);
  GatewayTarget marked([](const std::string& aId, int) {
    return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nTest-Not-Run: 1\r\n"
           "Test-Id: " +
           aId + "\r\n\r\n";
  });
  TestGateway second(marked.Address(), kPatientObjective);
  const std::string response = second.Call("POST", "/once/x", "r1", "b");
  CHECK(StatusOf(response) == 503);
  CHECK(response.find("Retry-After: ") != std::string::npos);
  CHECK(response.find("Test-Signature") == std::string::npos);
}

// Guards against altering a target's own error response.
TEST_CASE("gateway: a target's error response is passed on unchanged")
{
  GatewayTarget target([](const std::string& aId, int) {
    return "HTTP/1.1 500 Error\r\nContent-Length: 4\r\nTest-Signature: s\r\n"
           "Test-Id: " +
           aId + "\r\n\r\noops";
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  const std::string response = gateway.Call("POST", "/once/x", "r1", "b");
  CHECK(StatusOf(response) == 500);
  CHECK(response.find("Test-Signature: s") != std::string::npos);
  CHECK(response.find("oops") != std::string::npos);
}

// Guards against losing a response that arrives while the request's body is
// still being sent, and against parsing the rest of that body as a new request.
TEST_CASE("gateway: a response sent before the end of the body is delivered")
{
  GatewayTarget target([](const std::string& aId, int) {
    return "HTTP/1.1 413 Early\r\nContent-Length: 0\r\nTest-Signature: s\r\n"
           "Test-Id: " +
           aId + "\r\n\r\n" + ScriptedTarget::kCloseMarker;
  });
  TestGateway gateway(target.Address(), kPatientObjective);
  const std::string body(400000, 'u');
  CHECK(StatusOf(gateway.Call("POST", "/upload/x", "r1", body)) == 413);
  CHECK(target.Runs() == 1);
}
