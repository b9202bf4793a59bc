#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "support/ClosingTarget.h"

#include <doctest/doctest.h>

#include <optional>

using namespace lacewing;

namespace {

HttpCallResult Run(asio::io_context& aContext,
                   HttpClient& aClient,
                   const HttpCall& aCall)
{
  std::optional<HttpCallResult> result;
  aClient.Start(aCall, [&](HttpCallResult aResult) {
    result = std::move(aResult);
    aContext.stop();
  });
  aContext.restart();
  aContext.run();
  REQUIRE(result);
  return *std::move(result);
}

HttpCall Post(std::uint16_t aPort, const std::string& aBody)
{
  HttpCall call;
  call.endpoint = { "127.0.0.1", aPort };
  call.method = "POST";
  call.body = std::make_shared<const std::string>(aBody);
  call.timeout = std::chrono::seconds(5);
  return call;
}

/** Runs two calls of one connection; the target closes under the second. */
HttpCallEnd SecondCallEnd(const HttpCall& aCall, int& aRuns)
{
  asio::io_context context;
  ClosingTarget target(context);
  HttpClient client(context, {});
  HttpCall call = aCall;
  call.endpoint.port = target.Port();
  CHECK(Run(context, client, call).end == HttpCallEnd::kAnswered);
  const HttpCallEnd end = Run(context, client, call).end;
  aRuns = target.Runs();
  return end;
}

} // namespace

// Guards against libcurl sending a POST again on a reused connection that the
// target closed after reading it: the request would run twice.
TEST_CASE("a non-idempotent request reaches a closing target once")
{
  int runs = 0;
  HttpCall call = Post(0, "amount=5");
  CHECK(SecondCallEnd(call, runs) == HttpCallEnd::kLost);
  CHECK(runs == 2);

  // libcurl's own behaviour, which the idempotent flag leaves in place, shows
  // that the target really provokes the second sending.
  call.idempotent = true;
  SecondCallEnd(call, runs);
  CHECK(runs == 3);
}

// Guards against the same fault for requests without a body, which libcurl
// can send again without rewinding.
TEST_CASE("a non-idempotent request without a body is sent once")
{
  int runs = 0;
  CHECK(SecondCallEnd(Post(0, ""), runs) == HttpCallEnd::kLost);
  CHECK(runs == 2);
  HttpCall get;
  get.endpoint = { "127.0.0.1", 0 };
  CHECK(SecondCallEnd(get, runs) == HttpCallEnd::kLost);
  CHECK(runs == 2);
}

// Guards against a refused connection being reported as possibly run.
TEST_CASE("a refused connection is reported as not sent")
{
  asio::io_context context;
  std::uint16_t port = 0;
  {
    asio::ip::tcp::acceptor unused(context,
                                   { asio::ip::address_v4::loopback(), 0 });
    port = unused.local_endpoint().port();
  }
  HttpClient client(context, {});
  CHECK(Run(context, client, Post(port, "x")).end == HttpCallEnd::kNotSent);
}

// Guards against bodies and fields being changed between server and client.
TEST_CASE("a large body arrives whole in both directions")
{
  asio::io_context context;
  HttpServerOptions options;
  options.endpoint = { "127.0.0.1", 18931 };
  auto server = HttpServer::Make(
    context,
    options,
    [](HttpRequest aRequest, const std::shared_ptr<HttpResponder>& aResponder) {
      HttpResponse response;
      response.status = 201;
      response.fields.Add("Target-Instance", "7");
      response.body = aRequest.body;
      aResponder->Send(std::move(response));
    });
  REQUIRE(server.has_value());
  HttpClient client(context, {});
  const std::string body(8U << 20U, 'k');
  const HttpCallResult result = Run(context, client, Post(18931, body));
  CHECK(result.end == HttpCallEnd::kAnswered);
  CHECK(result.response.status == 201);
  CHECK(*result.response.fields.Find("target-instance") == "7");
  CHECK((result.response.body == body));
}

// Guards against a caller that hangs up leaving its work running.
TEST_CASE("the server reports a caller that closes before the answer")
{
  asio::io_context context;
  HttpServerOptions options;
  options.endpoint = { "127.0.0.1", 18932 };
  std::shared_ptr<HttpResponder> held;
  bool gone = false;
  HttpClient client(context, {});
  HttpCallId call;
  auto server = HttpServer::Make(
    context,
    options,
    [&](HttpRequest, const std::shared_ptr<HttpResponder>& aResponder) {
      held = aResponder;
      held->OnGone([&] {
        gone = true;
        context.stop();
      });
      client.Cancel(call);
    });
  REQUIRE(server.has_value());
  call = client.Start(Post(18932, "x"), [](HttpCallResult) { CHECK(false); });
  context.run_for(std::chrono::seconds(5));
  CHECK(gone);
}

// Guards against a dropped request being answered.
TEST_CASE("a request dropped by the server is lost for the client")
{
  asio::io_context context;
  HttpServerOptions options;
  options.endpoint = { "127.0.0.1", 18933 };
  auto server = HttpServer::Make(
    context,
    options,
    [](HttpRequest, const std::shared_ptr<HttpResponder>& aResponder) {
      aResponder->Drop();
    });
  REQUIRE(server.has_value());
  HttpClient client(context, {});
  CHECK(Run(context, client, Post(18933, "x")).end == HttpCallEnd::kLost);
}
