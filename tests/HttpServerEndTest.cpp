#include "net/HttpServer.h"
#include "support/FreePorts.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

#include <optional>

using namespace lacewing;

// Guards against connections that use the server's memory after it when a
// program ends with answers still to be written; the address sanitizer shows
// this.
TEST_CASE("a server may end before the answers that it still has to write")
{
  const FreePorts ports(1);
  std::optional<asio::io_context> context(std::in_place);
  HttpServerOptions options;
  options.endpoint = ports.At(0);
  std::shared_ptr<HttpResponder> held;
  auto server = HttpServer::Make(
    *context,
    options,
    [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& aResponder) {
      held = aResponder;
      context->stop();
    });
  REQUIRE(server.has_value());
  asio::io_context callers;
  asio::ip::tcp::socket caller(callers);
  caller.connect({ asio::ip::address_v4::loopback(), ports.Port(0) });
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  asio::write(caller, asio::buffer(request));
  context->run();
  REQUIRE(held);
  server.value().reset();
  asio::ip::tcp::socket late(callers);
  asio::error_code refused;
  late.connect({ asio::ip::address_v4::loopback(), ports.Port(0) }, refused);
  CHECK(refused == asio::error::connection_refused);
  held->Send({});
  held.reset();
  context.reset();
}
