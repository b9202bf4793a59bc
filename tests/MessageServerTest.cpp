#include "net/MessageServer.h"
#include "net/FrameCodec.h"
#include "net/MessageClient.h"
#include "support/RunUntil.h"

#include <asio.hpp>
#include <doctest/doctest.h>

#include <array>

using namespace lacewing;
using nlohmann::json;

namespace {

/** Server that records what it is told. */
struct RecordingServer
{
  explicit RecordingServer(asio::io_context& aContext)
  {
    MessageServerHandlers handlers;
    handlers.opened = [this](ConnectionId aId) {
      ++opened;
      last = aId;
    };
    handlers.received = [this](ConnectionId aId, const json& aMessage) {
      received.push_back(aMessage);
      server->Send(aId, aMessage);
    };
    handlers.closed = [this](ConnectionId) { ++closed; };
    handlers.malformed = [this](ConnectionId, const Error& aError) {
      malformed.push_back(aError.kind);
    };
    auto made =
      MessageServer::Make(aContext, { "127.0.0.1", 0 }, std::move(handlers));
    REQUIRE(made.has_value());
    server = std::move(made).value();
  }

  std::unique_ptr<MessageServer> server;
  int opened = 0;
  int closed = 0;
  ConnectionId last;
  std::vector<json> received;
  std::vector<ErrorKind> malformed;
};

/** Raw connection that has completed the WebSocket handshake. */
asio::ip::tcp::socket Handshake(asio::io_context& aContext,
                                RecordingServer& aServer)
{
  asio::ip::tcp::socket socket(aContext);
  socket.connect({ asio::ip::address_v4::loopback(), aServer.server->Port() });
  asio::write(socket,
              asio::buffer(std::string(
                "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
                "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")));
  REQUIRE(RunUntil(aContext, [&] { return aServer.opened == 1; }));
  return socket;
}

/** A masked frame with a zero mask; aSize is what its header claims. */
std::string Frame(unsigned char aFirstByte,
                  const std::string& aPayload,
                  std::uint64_t aSize)
{
  std::string frame{ static_cast<char>(aFirstByte), '\xff' };
  for (int shift = 56; shift >= 0; shift -= 8) {
    frame += static_cast<char>(aSize >> static_cast<unsigned>(shift));
  }
  return frame + std::string(4, '\0') + aPayload;
}

std::string Binary(const std::string& aPayload)
{
  return Frame(0x82, aPayload, aPayload.size());
}

/** Sends raw bytes and expects the connection to be closed as malformed. */
ErrorKind Refusal(const std::string& aBytes)
{
  asio::io_context context;
  RecordingServer server(context);
  auto socket = Handshake(context, server);
  asio::write(socket, asio::buffer(aBytes));
  REQUIRE(RunUntil(context, [&] { return server.closed == 1; }));
  CHECK(server.received.empty());
  REQUIRE(server.malformed.size() == 1);
  return server.malformed.front();
}

} // namespace

// Guards against hostile frames that exhaust memory or the stack, or reach
// the handlers although they are no message.
TEST_CASE("hostile frames are refused, counted and the connection closed")
{
  CHECK(Refusal(Frame(0x82, "", std::uint64_t{ 1 } << 40U)) ==
        ErrorKind::kTooLarge);
  CHECK(Refusal(Frame(0x02, std::string(900000, 'a'), 900000) +
                Frame(0x80, std::string(900000, 'a'), 900000)) ==
        ErrorKind::kTooLarge);
  CHECK(Refusal(Binary(std::string(1000000, '\x81'))) == ErrorKind::kTooLarge);
  // Half a million empty maps in one array.
  CHECK(Refusal(Binary("\xa1\x61t\x9f" + std::string(500000, '\xa0') +
                       "\xff")) == ErrorKind::kTooLarge);
  CHECK(Refusal(Binary("not CBOR")) == ErrorKind::kInvalidMessage);
  CHECK(Refusal(Binary("")) == ErrorKind::kInvalidMessage);
  // An array that claims 2^62 elements, a map cut short, bytes after a map.
  CHECK(Refusal(Binary(std::string("\x9b\x40\0\0\0\0\0\0\0", 9))) ==
        ErrorKind::kInvalidMessage);
  CHECK(Refusal(Binary("\xa2\x61t\x01")) == ErrorKind::kInvalidMessage);
  CHECK(Refusal(Binary("\xa0\xa0")) == ErrorKind::kInvalidMessage);
  CHECK(Refusal(Frame(0x81, "{}", 2)) == ErrorKind::kInvalidMessage);
  CHECK(Refusal(Frame(0xf2, "\xa0", 1)) == ErrorKind::kInvalidMessage);
}

// Guards against a peer that stops reading making the server's queue grow
// without bound.
TEST_CASE("a slow reader is disconnected")
{
  asio::io_context context;
  RecordingServer server(context);
  auto socket = Handshake(context, server);
  const json message{ { "t", std::string(500000, 'x') } };
  for (int i = 0; i < 100 && server.closed == 0; ++i) {
    server.server->Send(server.last, message);
    context.restart();
    context.poll();
  }
  CHECK(RunUntil(context, [&] { return server.closed == 1; }));
}

// Guards against a client that stays away after its server was replaced, and
// against messages changed on the way.
TEST_CASE("a client echoes a message and reconnects to a new server")
{
  asio::io_context context;
  auto server = std::make_unique<RecordingServer>(context);
  const std::uint16_t port = server->server->Port();
  int opened = 0;
  int closed = 0;
  std::vector<json> received;
  MessageClientHandlers handlers;
  handlers.opened = [&] { ++opened; };
  handlers.closed = [&] { ++closed; };
  handlers.received = [&](json aMessage) {
    received.push_back(std::move(aMessage));
  };
  MessageClient client(context, { "127.0.0.1", port }, handlers, 1);
  const json message{ { "t", "hello" },
                      { "v", 1 },
                      { "blob", json::binary({ 0, 255, 7 }) } };
  CHECK_FALSE(client.Send(message));
  REQUIRE(RunUntil(context, [&] { return opened == 1; }));
  CHECK(client.Send(message));
  REQUIRE(RunUntil(context, [&] { return received.size() == 1; }));
  CHECK(received.front() == message);

  server.reset();
  REQUIRE(RunUntil(context, [&] { return closed == 1; }));
  CHECK_FALSE(client.Send(message));
  MessageServerHandlers second;
  int accepted = 0;
  second.opened = [&](ConnectionId) { ++accepted; };
  second.closed = [](ConnectionId) {};
  const auto successor =
    MessageServer::Make(context, { "127.0.0.1", port }, second);
  REQUIRE(successor.has_value());
  CHECK(RunUntil(context, [&] { return opened == 2; }));
  CHECK(accepted == 1);
}
