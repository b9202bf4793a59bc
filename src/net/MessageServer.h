#ifndef NET_MESSAGESERVER_H
#define NET_MESSAGESERVER_H

#include "lacewing/Endpoint.h"
#include "lacewing/Outcome.h"
#include "net/ConnectionId.h"
#include "net/MessageLimits.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lacewing {

/** What a MessageServer calls, on the thread of its io_context. */
struct MessageServerHandlers
{
  std::function<void(ConnectionId)> opened;
  std::function<void(ConnectionId, nlohmann::json)> received;
  std::function<void(ConnectionId)> closed;
  /** A frame that is too large or no CBOR map; its connection is closed. */
  std::function<void(ConnectionId, const Error&)> malformed;
};

/** WebSocket server for CBOR maps of at most kMaxMessageBytes. */
class MessageServer
{
public:
  static Outcome<std::unique_ptr<MessageServer>> Make(
    asio::io_context& aContext,
    const Endpoint& aEndpoint,
    MessageServerHandlers aHandlers);

  ~MessageServer();
  MessageServer(const MessageServer&) = delete;
  MessageServer& operator=(const MessageServer&) = delete;

  /** The port listened on, chosen by the kernel when the endpoint's is 0. */
  std::uint16_t Port() const;

  /**
   * Does nothing when the connection has gone. Closes the connection of a
   * reader that leaves more than kMaxSendQueueBytes unread.
   */
  void Send(ConnectionId aConnection, const nlohmann::json& aMessage);

  /** As Send, for a message that EncodeFrame has encoded. */
  void SendFrame(ConnectionId aConnection, const std::string& aFrame);

  void Disconnect(ConnectionId aConnection);

private:
  struct Impl;
  explicit MessageServer(std::shared_ptr<Impl> aImpl);

  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // NET_MESSAGESERVER_H
