#include "net/MessageClient.h"

#include "core/OneShotTimer.h"
#include "net/FrameCodec.h"
#include "net/WebSocketConfigPriv.h"

#include <asio/post.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core_client.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <utility>

namespace lacewing {

namespace {

using Transport =
  websocketpp::client<WebSocketConfig<websocketpp::config::core_client>>;
using websocketpp::connection_hdl;

constexpr std::chrono::milliseconds kFirstBackOff{ 50 };
constexpr std::chrono::milliseconds kLongestBackOff{ 2000 };

} // namespace

/** Kept alive by the handlers of its connection while that is not closed. */
struct MessageClient::Impl : public std::enable_shared_from_this<Impl>
{
  Impl(asio::io_context& aContext,
       const Endpoint& aEndpoint,
       MessageClientHandlers aHandlers,
       std::uint64_t aSeed)
    : context(aContext)
    , address("ws://" + aEndpoint.ToString() + "/")
    , handlers(std::move(aHandlers))
    , timer(aContext)
    , random(aSeed)
  {
    transport.init_asio(&context);
  }

  void Connect()
  {
    std::error_code error;
    const auto connection = transport.get_connection(address, error);
    if (error) {
      RetryLater();
      return;
    }
    const auto self = shared_from_this();
    connection->set_open_handler([self](connection_hdl) { self->OnOpen(); });
    connection->set_fail_handler([self](connection_hdl) { self->OnClose(); });
    connection->set_close_handler([self](connection_hdl) { self->OnClose(); });
    connection->set_message_handler(
      [self](connection_hdl, const Transport::message_ptr& aMessage) {
        self->OnMessage(aMessage->get_opcode(), aMessage->get_payload());
      });
    handle = connection;
    transport.connect(connection);
  }

  void RetryLater()
  {
    std::uniform_int_distribution<std::int64_t> jitter(backOff.count() / 2,
                                                       backOff.count());
    timer.Arm(std::chrono::milliseconds(jitter(random)),
              [weak = weak_from_this()] {
                const auto self = weak.lock();
                if (self && !self->stopped) {
                  self->Connect();
                }
              });
    backOff = std::min(backOff * 2, kLongestBackOff);
  }

  void OnOpen()
  {
    if (stopped) {
      Terminate();
      return;
    }
    const auto connection = Find();
    std::error_code ignored;
    connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                            ignored);
    open = true;
    handlers.opened();
  }

  void OnClose()
  {
    // websocketpp may still use this object on the way out.
    asio::post(context, [self = shared_from_this()] {});
    const bool wasOpen = std::exchange(open, false);
    if (stopped) {
      return;
    }
    RetryLater();
    if (wasOpen || refusing) {
      refusing = false;
      handlers.closed();
    }
  }

  void OnMessage(websocketpp::frame::opcode::value aOpcode,
                 const std::string& aFrame)
  {
    if (!open) {
      return;
    }
    auto message = DecodeFrame(aFrame);
    if (aOpcode != websocketpp::frame::opcode::binary || !message) {
      if (handlers.malformed) {
        handlers.malformed();
      }
      Drop();
      return;
    }
    // A server that accepts and closes at once must not reset the back-off.
    backOff = kFirstBackOff;
    handlers.received(std::move(message).value());
  }

  bool Send(const std::string& aFrame)
  {
    const auto connection = Find();
    if (!open || !connection) {
      return false;
    }
    if (aFrame.size() > kMaxMessageBytes) {
      return false;
    }
    if (connection->get_buffered_amount() + aFrame.size() >
        kMaxSendQueueBytes) {
      Drop();
      return false;
    }
    return !connection->send(aFrame, websocketpp::frame::opcode::binary);
  }

  /** Closes an open connection; its close is reported later. */
  void Drop()
  {
    open = false;
    refusing = true;
    Terminate();
  }

  void Terminate()
  {
    if (const auto connection = Find()) {
      connection->terminate(std::error_code());
    }
  }

  void Stop()
  {
    stopped = true;
    timer.Cancel();
    // A connection that is still being opened is closed once it is open,
    // because websocketpp cannot cancel the opening.
    if (std::exchange(open, false)) {
      Terminate();
    }
  }

  Transport::connection_ptr Find()
  {
    std::error_code ignored;
    return transport.get_con_from_hdl(handle, ignored);
  }

  asio::io_context& context;
  std::string address;
  MessageClientHandlers handlers;
  Transport transport;
  connection_hdl handle;
  OneShotTimer timer;
  std::mt19937_64 random;
  std::chrono::milliseconds backOff = kFirstBackOff;
  bool open = false;
  /** Whether Drop was called and the close is not reported yet. */
  bool refusing = false;
  bool stopped = false;
};

MessageClient::MessageClient(asio::io_context& aContext,
                             const Endpoint& aEndpoint,
                             MessageClientHandlers aHandlers,
                             std::uint64_t aSeed)
  : impl_(
      std::make_shared<Impl>(aContext, aEndpoint, std::move(aHandlers), aSeed))
{
  impl_->Connect();
}

MessageClient::~MessageClient()
{
  impl_->Stop();
}

bool MessageClient::Send(const nlohmann::json& aMessage)
{
  return impl_->Send(EncodeFrame(aMessage));
}

bool MessageClient::SendFrame(const std::string& aFrame)
{
  return impl_->Send(aFrame);
}

} // namespace lacewing
