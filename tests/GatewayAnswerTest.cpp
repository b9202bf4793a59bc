#include "support/TestGateway.h"

#include <thread>

using namespace lacewing;

// Guards against an answer that reaches another request: a target that answers
// twice sends the second answer where the next one is expected.
TEST_CASE("gateway: a second answer never reaches the next request")
{
  GatewayTarget target([](const std::string& aId, int) {
    return Signed(aId, "for " + aId) + Signed(aId, "again " + aId);
  });
  TestGateway gateway({ &target });
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string answer = gateway.Call("GET", "/safe/x", id);
    CHECK(StatusOf(answer) == 200);
    CHECK(answer.find("for " + id) != std::string::npos);
    CHECK(answer.find("again") == std::string::npos);
  }
}

// Guards against taking a late answer to an earlier request for this one's:
// the gateway reads on until its own arrives.
TEST_CASE("gateway: an answer with another request's id is read and dropped")
{
  GatewayTarget target([](const std::string& aId, int) {
    return Signed("earlier", "wrong") + Signed(aId, "right");
  });
  TestGateway gateway({ &target });
  const std::string answer = gateway.Call("POST", "/once/x", "r1", "body");
  CHECK(StatusOf(answer) == 200);
  CHECK(answer.find("right") != std::string::npos);
  CHECK(answer.find("wrong") == std::string::npos);
  CHECK(target.Runs() == 1);
}

// Guards against an answer that ends early but looks complete.
TEST_CASE("gateway: a truncated answer is no success")
{
  GatewayTarget target([](const std::string& aId, int) {
    const std::string whole = Signed(aId, "0123456789");
    return whole.substr(0, whole.size() - 4) + ScriptedTarget::kThenClose;
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
           "\r\n\r\nunframed" + ScriptedTarget::kThenClose;
  });
  TestGateway gateway({ &target });
  const std::string answer = gateway.Call("GET", "/safe/x", "r1");
  CHECK(StatusOf(answer) == 200);
  CHECK(answer.find("Content-Length: 8\r\n") != std::string::npos);
  CHECK(answer.find("unframed") != std::string::npos);
}

// Guards against a success without the target's proof, and against a coded
// body, which is not the target's.
TEST_CASE("gateway: a success needs the signature and an uncoded body")
{
  GatewayTarget unsignedTarget([](const std::string& aId, int) {
    return Whole("x", "Test-Id: " + aId + "\r\n");
  });
  TestGateway first({ &unsignedTarget });
  CHECK(StatusOf(first.Call("POST", "/once/x", "r1", "b")) == 502);
  GatewayTarget coded([](const std::string& aId, int) {
    return Whole("x",
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
  const std::string answer = second.Call("POST", "/once/x", "r1", "b");
  CHECK(StatusOf(answer) == 503);
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  CHECK(answer.find("Test-Signature") == std::string::npos);
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
  const std::string answer = gateway.Call("POST", "/once/x", "r1", "b");
  CHECK(StatusOf(answer) == 500);
  CHECK(answer.find("Test-Signature: s") != std::string::npos);
  CHECK(answer.find("oops") != std::string::npos);
}

// Guards against an early answer that is lost while the body is still sent,
// and against the rest of that body being taken for another request.
TEST_CASE("gateway: an answer that comes before the body's end is delivered")
{
  GatewayTarget target([](const std::string& aId, int) {
    return "HTTP/1.1 413 Early\r\nContent-Length: 0\r\nTest-Signature: s\r\n"
           "Test-Id: " +
           aId + "\r\n\r\n" + ScriptedTarget::kThenClose;
  });
  TestGateway gateway({ &target });
  const std::string body(400000, 'u');
  CHECK(StatusOf(gateway.Call("POST", "/upload/x", "r1", body)) == 413);
  CHECK(target.Runs() == 1);
}
