#include "net/MessageServer.h"

#include "net/FrameCodec.h"
#include "net/WebSocketConfigPriv.h"

#include <asio/post.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/server.hpp>

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

using Transport =
  websocketpp::server<WebSocketConfig<websocketpp::config::core>>;
using websocketpp::connection_hdl;

// Peers, entryd and rolling replacements need some tens; the rest is abuse.
constexpr std::size_t kMaxConnections = 1024;

Error ProtocolError(const std::error_code& aCode)
{
  const bool large = aCode == websocketpp::processor::error::make_error_code(
                                websocketpp::processor::error::message_too_big);
  return { large ? ErrorKind::kTooLarge : ErrorKind::kInvalidMessage,
           "a peer broke the WebSocket protocol: " + aCode.message(),
           "send binary frames of at most 1 MiB" };
}

} // namespace

struct MessageServer::Impl : public std::enable_shared_from_this<Impl>
{
  Impl(asio::io_context& aContext, MessageServerHandlers aHandlers)
    : context(aContext)
    , handlers(std::move(aHandlers))
  {
    transport.init_asio(&context);
    transport.set_reuse_addr(true);
  }

  void Listen(const Endpoint& aEndpoint)
  {
    const std::weak_ptr<Impl> weak = weak_from_this();
    const auto bind = [weak](auto aMember) {
      return [weak, aMember](connection_hdl aHandle, auto... aRest) {
        if (const auto self = weak.lock()) {
          ((*self).*aMember)(aHandle, aRest...);
        }
      };
    };
    transport.set_socket_init_handler([](connection_hdl, auto& aSocket) {
      std::error_code ignored;
      aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
    });
    transport.set_open_handler(bind(&Impl::OnOpen));
    transport.set_close_handler(bind(&Impl::OnClose));
    transport.set_message_handler(bind(&Impl::OnMessage));
    transport.listen(asio::ip::tcp::endpoint(
      asio::ip::make_address_v4(aEndpoint.address), aEndpoint.port));
    transport.start_accept();
  }

  void Stop()
  {
    stopped = true;
    std::error_code ignored;
    transport.stop_listening(ignored);
    const auto open = std::move(connections);
    connections.clear();
    for (const auto& [id, connection] : open) {
      Terminate(connection, std::error_code());
    }
    // The cancelled accept still refers to the transport.
    asio::post(context, [self = shared_from_this()] {});
  }

  void OnOpen(connection_hdl aHandle)
  {
    if (stopped || connections.size() >= kMaxConnections) {
      Terminate(aHandle, std::error_code());
      return;
    }
    const ConnectionId id = ++lastId;
    connections.emplace(id, aHandle);
    ids.emplace(aHandle, id);
    handlers.opened(id);
  }

  void OnClose(connection_hdl aHandle)
  {
    const auto entry = ids.find(aHandle);
    if (entry == ids.end()) {
      return;
    }
    const ConnectionId id = entry->second;
    ids.erase(entry);
    connections.erase(id);
    if (stopped) {
      return;
    }
    const std::error_code code = Find(aHandle)->get_ec();
    if (code.category() ==
        websocketpp::processor::error::get_processor_category()) {
      handlers.malformed(id, ProtocolError(code));
    }
    handlers.closed(id);
  }

  void OnMessage(connection_hdl aHandle, Transport::message_ptr aMessage)
  {
    const auto entry = ids.find(aHandle);
    if (stopped || entry == ids.end()) {
      return;
    }
    const ConnectionId id = entry->second;
    if (aMessage->get_opcode() != websocketpp::frame::opcode::binary) {
      Refuse(id,
             { ErrorKind::kInvalidMessage,
               "a frame is text",
               "send binary frames" });
      return;
    }
    auto message = DecodeFrame(aMessage->get_payload());
    if (!message) {
      Refuse(id, message.error());
      return;
    }
    handlers.received(id, std::move(message).value());
  }

  void Refuse(ConnectionId aConnection, const Error& aError)
  {
    handlers.malformed(aConnection, aError);
    Disconnect(aConnection);
  }

  void Send(ConnectionId aConnection, const std::string& aFrame)
  {
    const auto entry = connections.find(aConnection);
    if (entry == connections.end()) {
      return;
    }
    const auto connection = Find(entry->second);
    if (aFrame.size() > kMaxMessageBytes ||
        connection->get_buffered_amount() + aFrame.size() >
          kMaxSendQueueBytes) {
      Disconnect(aConnection);
      return;
    }
    connection->send(aFrame, websocketpp::frame::opcode::binary);
  }

  void Disconnect(ConnectionId aConnection)
  {
    const auto entry = connections.find(aConnection);
    if (entry != connections.end()) {
      const connection_hdl handle = entry->second;
      connections.erase(entry);
      Terminate(handle, std::error_code());
    }
  }

  Transport::connection_ptr Find(connection_hdl aHandle)
  {
    std::error_code ignored;
    return transport.get_con_from_hdl(std::move(aHandle), ignored);
  }

  void Terminate(connection_hdl aHandle, const std::error_code& aCode)
  {
    if (const auto connection = Find(std::move(aHandle))) {
      connection->terminate(aCode);
    }
  }

  asio::io_context& context;
  MessageServerHandlers handlers;
  Transport transport;
  ConnectionId lastId;
  std::unordered_map<ConnectionId, connection_hdl> connections;
  /** Handles of connections whose close has not been reported yet. */
  std::map<connection_hdl, ConnectionId, std::owner_less<connection_hdl>> ids;
  bool stopped = false;
};

Outcome<std::unique_ptr<MessageServer>> MessageServer::Make(
  asio::io_context& aContext,
  const Endpoint& aEndpoint,
  MessageServerHandlers aHandlers)
{
  try {
    auto impl = std::make_shared<Impl>(aContext, std::move(aHandlers));
    impl->Listen(aEndpoint);
    return std::unique_ptr<MessageServer>(new MessageServer(std::move(impl)));
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kUnavailable,
                "cannot listen on " + aEndpoint.ToString() + ": " +
                  error.what(),
                "choose an address of this host and a free port");
  }
}

MessageServer::MessageServer(std::shared_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

MessageServer::~MessageServer()
{
  impl_->Stop();
}

std::uint16_t MessageServer::Port() const
{
  std::error_code ignored;
  return impl_->transport.get_local_endpoint(ignored).port();
}

void MessageServer::Send(ConnectionId aConnection,
                         const nlohmann::json& aMessage)
{
  impl_->Send(aConnection, EncodeFrame(aMessage));
}

void MessageServer::SendFrame(ConnectionId aConnection,
                              const std::string& aFrame)
{
  impl_->Send(aConnection, aFrame);
}

void MessageServer::Disconnect(ConnectionId aConnection)
{
  impl_->Disconnect(aConnection);
}

} // namespace lacewing
