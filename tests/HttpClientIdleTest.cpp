#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "support/FreePorts.h"

#include <doctest/doctest.h>

#include <asio/steady_timer.hpp>

#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

/** Answers after a delay that grows with each request. */
void AnswerLate(asio::io_context& aContext,
                int aRequest,
                const std::shared_ptr<HttpResponder>& aResponder)
{
  auto timer = std::make_shared<asio::steady_timer>(
    aContext, std::chrono::milliseconds(aRequest % 9));
  timer->async_wait([timer, aResponder](const asio::error_code&) {
    HttpResponse response;
    response.body = std::string(30000, 'a');
    aResponder->Send(std::move(response));
  });
}

} // namespace

// Guards against socket watches that outlive their calls, which keep an
// io_context busy for good after calls that time out.
TEST_CASE("a client without calls leaves its io_context idle")
{
  const FreePorts ports(1);
  asio::io_context serverContext;
  HttpServerOptions options;
  options.endpoint = ports.At(0);
  int requests = 0;
  auto server = HttpServer::Make(
    serverContext,
    options,
    [&](HttpRequest, const std::shared_ptr<HttpResponder>& aResponder) {
      AnswerLate(serverContext, ++requests, aResponder);
    });
  REQUIRE(server.has_value());
  std::thread thread([&] { serverContext.run(); });
  asio::io_context context;
  HttpClient client(context, {});
  int open = 0;
  std::function<void(int)> start = [&](int aLeft) {
    HttpCall call;
    call.endpoint = ports.At(0);
    call.idempotent = true;
    call.timeout = aLeft % 3 == 0 ? 4ms : 2000ms;
    if (aLeft % 4 == 1) {
      call.method = "POST";
      call.idempotent = false;
      call.body = std::make_shared<const std::string>(20000, 'b');
    }
    ++open;
    client.Start(call, [&, aLeft](const HttpCallResult&) {
      --open;
      if (aLeft > 0) {
        start(aLeft - 1);
      }
    });
  };
  for (int i = 0; i < 40; ++i) {
    start(60);
  }
  const auto begin = std::chrono::steady_clock::now();
  context.run_for(20s);
  CHECK(open == 0);
  CHECK(std::chrono::steady_clock::now() - begin < 15s);
  serverContext.stop();
  thread.join();
}
