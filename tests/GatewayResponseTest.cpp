#include "support/TestGateway.h"

#include <thread>

using namespace lacewing;

// Guards against an answer that reaches another request: a target that answers
// twice sends the second answer where the next one is expected.
TEST_CASE("gateway: a second answer never reaches the next request")
{
  GatewayTarget target([](const std::string& aId, int) {
    return SignedResponse(aId, "for " + aId) +
           SignedResponse(aId, "again " + aId);
  });
  TestGateway gateway({ &target });
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string response = gateway.Call("GET", "/safe/x", id);
    CHECK(StatusOf(response) == 200);
    CHECK(response.find("for " + id) != std::string::npos);
    CHECK(response.find("again") == std::string::npos);
  }
}

// Guards against taking a late answer to an earlier request for this one's:
// the gateway reads on until its own arrives.
TEST_CASE("gateway: an answer with another request's id is read and dropped")
{
  GatewayTarget target([](const std::string& aId, int) {
    return SignedResponse("earlier", "wrong") + SignedResponse(aId, "right");
  });
  TestGateway gateway({ &target });
  const std::string response = gateway.Call("POST", "/once/x", "r1", "body");
  CHECK(StatusOf(response) == 200);
  CHECK(response.find("right") != std::string::npos);
  CHECK(response.find("wrong") == std::string::npos);
  CHECK(target.Runs() == 1);
}

// Guards against an answer that ends early but looks complete.
TEST_CASE("gateway: a truncated answer is no success")
{
  GatewayTarget target([](const std::string& aId, int) {
    const std::string complete = SignedResponse(aId, "0123456789");
    return complete.substr(0, complete.size() - 4) +
           ScriptedTarget::kCloseMarker;
  });
  TestGateway gateway({ &target });
  CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "body")) == 502);
  CHECK(target.Runs() == 1);
}

// Guards against refusing a whole answer that has no length and ends with its
// connection.
TEST_CASE("gateway: an answer without a length is whole at an orderly end")
{
  GatewayTarget target([](const std::string& aId, int) {
    return "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nTest-Id: " + aId +
           "\r\n\r\nunframed" + ScriptedTarget::kCloseMarker;
  });
  TestGateway gateway({ &target });
  const std::string response = gateway.Call("GET", "/safe/x", "r1");
  CHECK(StatusOf(response) == 200);
  CHECK(response.find("Content-Length: 8\r\n") != std::string::npos);
  CHECK(response.find("unframed") != std::string::npos);
}

// Guards against a success without the target's proof, and against a coded
// body, which is not the target's.
TEST_CASE("gateway: a success needs the signature and an uncoded body")
{
  GatewayTarget unsignedTarget([](const std::string& aId, int) {
    return OkResponse("x", "Test-Id: " + aId + "\r\n");
  });
  TestGateway first({ &unsignedTarget });
  CHECK(StatusOf(first.Call("POST", "/once/x", "r1", "b")) == 502);
  GatewayTarget coded([](const std::string& aId, int) {
    return OkResponse("x",
                      "Test-Id: " + aId +
                        "\r\nTest-Signature: s\r\nContent-Encoding: gzip\r\n");
  });
  TestGateway second({ &coded });
  CHECK(StatusOf(second.Call("POST", "/once/x", "r1", "b")) == 502);
}

// Guards against a promise of "not run" that no target made: a 503 without the
// mark may have run.
TEST_CASE("gateway: only a marked refusal is passed on as not run")
{
  GatewayTarget unmarked([](const std::string& aId, int) {
    return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nTest-Id: " + aId +
           "\r\n\r\n";
  });
  TestGateway first({ &unmarked });
  CHECK(StatusOf(first.Call("POST", "/once/x", "r1", "b")) == 502);
  GatewayTarget marked([](const std::string& aId, int) {
    return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nTest-Not-Run: 1\r\n"
           "Test-Id: " +
           aId + "\r\n\r\n";
  });
  TestGateway second({ &marked });
  const std::string response = second.Call("POST", "/once/x", "r1", "b");
  CHECK(StatusOf(response) == 503);
  CHECK(response.find("Retry-After: ") != std::string::npos);
  CHECK(response.find("Test-Signature") == std::string::npos);
}

// Guards against changing a target's own failure.
TEST_CASE("gateway: a target's failure passes unchanged")
{
  GatewayTarget target([](const std::string& aId, int) {
    return "HTTP/1.1 500 Error\r\nContent-Length: 4\r\nTest-Signature: s\r\n"
           "Test-Id: " +
           aId + "\r\n\r\noops";
  });
  TestGateway gateway({ &target });
  const std::string response = gateway.Call("POST", "/once/x", "r1", "b");
  CHECK(StatusOf(response) == 500);
  CHECK(response.find("Test-Signature: s") != std::string::npos);
  CHECK(response.find("oops") != std::string::npos);
}

// Guards against an early answer that is lost while the body is still sent,
// and against the rest of that body being taken for another request.
TEST_CASE("gateway: an answer that comes before the body's end is delivered")
{
  GatewayTarget target([](const std::string& aId, int) {
    return "HTTP/1.1 413 Early\r\nContent-Length: 0\r\nTest-Signature: s\r\n"
           "Test-Id: " +
           aId + "\r\n\r\n" + ScriptedTarget::kCloseMarker;
  });
  TestGateway gateway({ &target });
  const std::string body(400000, 'u');
  CHECK(StatusOf(gateway.Call("POST", "/upload/x", "r1", body)) == 413);
  CHECK(target.Runs() == 1);
}
