#ifndef NET_MESSAGECLIENT_H
#define NET_MESSAGECLIENT_H

#include "lacewing/Endpoint.h"
#include "lacewing/Outcome.h"
#include "net/MessageLimits.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace lacewing {

/** What a MessageClient calls, on the thread of its io_context. */
struct MessageClientHandlers
{
  std::function<void()> opened;
  std::function<void(nlohmann::json)> received;
  /** The connection was lost; the client connects again by itself. */
  std::function<void()> closed;
  /** A frame that is no CBOR map within the limits; may be null. */
  std::function<void()> malformed;
};

/**
 * WebSocket client for CBOR maps of at most kMaxMessageBytes. Keeps
 * connecting, with a back-off of 50 ms to 2 s and jitter drawn with aSeed,
 * until destroyed.
 */
class MessageClient
{
public:
  MessageClient(asio::io_context& aContext,
                const Endpoint& aEndpoint,
                MessageClientHandlers aHandlers,
                std::uint64_t aSeed = std::random_device()());
  ~MessageClient();
  MessageClient(const MessageClient&) = delete;
  MessageClient& operator=(const MessageClient&) = delete;

  /** Returns false, and drops the message, while not connected. */
  bool Send(const nlohmann::json& aMessage);
  /** As Send, for a message that EncodeFrame has encoded. */
  bool SendFrame(const std::string& aFrame);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // NET_MESSAGECLIENT_H
