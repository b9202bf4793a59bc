#include "net/HttpServer.h"
#include "support/FreePorts.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

#include <optional>

using namespace lacewing;

// Guards against open connections that use the server's memory after it when
// a program ends; the address sanitizer shows this.
TEST_CASE("a server may end before its open connections")
{
  const FreePorts ports(1);
  std::optional<asio::io_context> context(std::in_place);
  HttpServerOptions options;
  options.endpoint = ports.At(0);
  int requests = 0;
  auto server = HttpServer::Make(
    *context,
    options,
    [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& aResponder) {
      ++requests;
      aResponder->Send({});
      context->stop();
    });
  REQUIRE(server.has_value());
  asio::io_context callers;
  asio::ip::tcp::socket caller(callers);
  caller.connect({ asio::ip::address_v4::loopback(), ports.Port(0) });
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  asio::write(caller, asio::buffer(request));
  context->run();
  CHECK(requests == 1);
  server.value().reset();
  context.reset();
}
