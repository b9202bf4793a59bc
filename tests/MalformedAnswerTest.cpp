#include "core/MonotonicClock.h"
#include "http/HttpConnection.h"
#include "net/HttpClient.h"
#include "support/MalformedAnswers.h"
#include "support/ProperAnswers.h"
#include "support/TestGateway.h"

#include <optional>

using namespace lacewing;

namespace {

/** How HttpConnection, which hostd uses for every call, takes an answer. */
ExchangeEnd EndOnConnection(const std::string& aBytes)
{
  ScriptedTarget target([&](int, const std::string&) { return aBytes; });
  asio::io_context context;
  MonotonicClock clock;
  ConnectionOptions options;
  options.endpoint = target.Address();
  HttpConnection connection(context, options, clock);
  OutgoingRequest request;
  request.head.method = "GET";
  request.head.target = "/";
  std::optional<ExchangeEnd> end;
  connection.Send(std::move(request),
                  [&](const ExchangeResult& aResult) { end = aResult.end; });
  context.run();
  REQUIRE(end);
  return *end;
}

/** How HttpClient, which the other programs use, takes an answer. */
HttpCallEnd EndOnClient(const std::string& aBytes)
{
  ScriptedTarget target([&](int, const std::string&) { return aBytes; });
  asio::io_context context;
  HttpClient client(context, {});
  HttpCall call;
  call.endpoint = target.Address();
  std::optional<HttpCallEnd> end;
  client.Start(call, [&](const HttpCallResult& aResult) {
    end = aResult.end;
    context.stop();
  });
  context.run();
  REQUIRE(end);
  return *end;
}

/** The final answer as the target of a gateway sends it to request "r1". */
std::string Signed(const std::string& aBytes)
{
  std::string bytes = aBytes;
  return bytes.insert(bytes.find('\n', bytes.rfind("HTTP/")) + 1,
                      "Test-Signature: s\r\nTest-Id: r1\r\n");
}

} // namespace

// Guards against answers that are none by RFC 9112 and reach callers, probes or
// the readers of the store's and other hosts' answers.
TEST_CASE("http connection: a malformed answer is no answer")
{
  for (const NamedAnswer& answer : MalformedAnswers()) {
    CAPTURE(answer.name);
    CHECK(EndOnConnection(answer.bytes + ScriptedTarget::kCloseMarker) !=
          ExchangeEnd::kAnswered);
  }
}

TEST_CASE("http client: a malformed answer is no answer")
{
  for (const NamedAnswer& answer : MalformedAnswers()) {
    CAPTURE(answer.name);
    CHECK(EndOnClient(answer.bytes + ScriptedTarget::kCloseMarker) !=
          HttpCallEnd::kAnswered);
  }
}

// Guards also against a malformed answer that is taken for a statement of the
// target, with the request's id or by its position.
TEST_CASE("gateway: a malformed answer does not reach the caller")
{
  for (const NamedAnswer& answer : MalformedAnswers()) {
    for (const std::string& bytes : { Signed(answer.bytes), answer.bytes }) {
      CAPTURE(answer.name);
      GatewayTarget target([&](const std::string&, int) {
        return bytes + ScriptedTarget::kCloseMarker;
      });
      TestGateway gateway(target.Address(), kPatientObjective);
      CHECK(StatusOf(gateway.Call("POST", "/once/x", "r1", "body")) == 502);
      CHECK(target.Runs() == 1);
    }
  }
}

// Guards against proper answers that are refused as malformed.
TEST_CASE("gateway: a proper answer reaches the caller")
{
  for (const NamedAnswer& answer : ProperAnswers()) {
    CAPTURE(answer.name);
    CHECK(EndOnClient(answer.bytes) == HttpCallEnd::kAnswered);
    GatewayTarget target(
      [&](const std::string&, int) { return Signed(answer.bytes); });
    TestGateway gateway(target.Address(), kPatientObjective);
    const std::string response = gateway.Call("POST", "/once/x", "r1", "body");
    CHECK(StatusOf(response) / 100 == 2);
    CHECK(response.find("Content-Length: 5\r\n") != std::string::npos);
    CHECK(response.substr(response.find("\r\n\r\n") + 4) == "01234");
  }
}
