#ifndef NET_MESSAGECLIENT_H
#define NET_MESSAGECLIENT_H

#include "lacewing/Endpoint.h"
#include "lacewing/Outcome.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>

namespace lacewing {

/** What a MessageClient calls, on the thread of its io_context. */
struct MessageClientHandlers
{
  std::function<void()> opened;
  std::function<void(nlohmann::json)> received;
  /** The connection was lost; the client connects again by itself. */
  std::function<void()> closed;
};

/**
 * WebSocket client for CBOR maps of at most kMaxMessageBytes. Keeps
 * connecting, with a back-off of 50 ms to 2 s and jitter, until destroyed.
 */
class MessageClient
{
public:
  MessageClient(asio::io_context& aContext,
                const Endpoint& aEndpoint,
                MessageClientHandlers aHandlers);
  ~MessageClient();
  MessageClient(const MessageClient&) = delete;
  MessageClient& operator=(const MessageClient&) = delete;

  /** Returns false, and drops the message, while not connected. */
  bool Send(const nlohmann::json& aMessage);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // NET_MESSAGECLIENT_H
