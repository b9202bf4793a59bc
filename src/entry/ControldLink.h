#ifndef ENTRY_CONTROLDLINK_H
#define ENTRY_CONTROLDLINK_H

#include "entry/ControldEvents.h"
#include "net/MessageClient.h"
#include "wire/HelloMessage.h"
#include "wire/WireMessage.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lacewing {

/** The connection to controld: greets, decodes and dispatches frames. */
class ControldLink
{
public:
  /** aHello is sent at the start of each connection. */
  ControldLink(asio::io_context& aContext,
               const Endpoint& aControld,
               HelloMessage aHello,
               std::uint64_t aSeed,
               ControldEvents& aEvents);

  /** Drops the message while not connected. */
  template<class Message>
  void Send(const Message& aMessage)
  {
    if (greeted_) {
      client_.Send(EncodeMessage(aMessage));
    }
  }

  /** Version that the next hello states. */
  void SetVersion(ConfigVersion aVersion) { hello_.version = aVersion; }

  /** Frames refused or of an unknown kind since the start. */
  std::uint64_t BadFrames() const { return badFrames_; }
  std::uint64_t UnknownFrames() const { return unknownFrames_; }

private:
  void OnOpened();
  void OnFrame(const nlohmann::json& aFrame);
  void OnClosed();
  void OnHello(const nlohmann::json& aFrame);
  void OnConfig(const nlohmann::json& aFrame);
  void OnTargetState(const nlohmann::json& aFrame);
  void OnGrant(const nlohmann::json& aFrame);
  /** Counts and logs a frame that cannot be read. */
  void Refuse(const Error& aError);
  template<class Message>
  void Deliver(const nlohmann::json& aFrame,
               void (ControldEvents::*aEvent)(const Message&));

  struct Kind;
  static const Kind kKinds[];

  HelloMessage hello_;
  ControldEvents& events_;
  bool greeted_ = false;
  std::uint64_t badFrames_ = 0;
  std::uint64_t unknownFrames_ = 0;
  MessageClient client_;
};

} // namespace lacewing

#endif // ENTRY_CONTROLDLINK_H
