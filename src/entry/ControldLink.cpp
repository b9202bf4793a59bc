#include "entry/ControldLink.h"

#include "core/Log.h"

#include <utility>

namespace lacewing {

/** A kind of frame and the member that takes it. */
struct ControldLink::Kind
{
  const char* name;
  void (ControldLink::*take)(const nlohmann::json&);
};

const ControldLink::Kind ControldLink::kKinds[] = {
  { HelloMessage::kKind, &ControldLink::OnHello },
  { ConfigMessage::kKind, &ControldLink::OnConfig },
  { TargetStateMessage::kKind, &ControldLink::OnTargetState },
  { GrantMessage::kKind, &ControldLink::OnGrant },
};

ControldLink::ControldLink(asio::io_context& aContext,
                           const Endpoint& aControld,
                           HelloMessage aHello,
                           std::uint64_t aSeed,
                           ControldEvents& aEvents)
  : hello_(std::move(aHello))
  , events_(aEvents)
  , client_(aContext,
            aControld,
            { [this] { OnOpened(); },
              [this](const nlohmann::json& aFrame) { OnFrame(aFrame); },
              [this] { OnClosed(); },
              [this] {
                Refuse(
                  { ErrorKind::kInvalidMessage,
                    "controld sent a frame that is no CBOR map",
                    "check that the endpoint is controld's message port" });
              } },
            aSeed)
{
}

void ControldLink::OnOpened()
{
  client_.Send(EncodeMessage(hello_));
}

void ControldLink::OnClosed()
{
  if (std::exchange(greeted_, false)) {
    Log(LogLevel::kWarning, "controld-lost");
    events_.OnDisconnected();
  }
}

void ControldLink::OnFrame(const nlohmann::json& aFrame)
{
  const auto kind = WireKind(aFrame);
  if (!kind) {
    Refuse(kind.error());
    return;
  }
  for (const Kind& known : kKinds) {
    // Nothing counts before the peer has shown that it is the right one.
    if (kind.value() == known.name &&
        (greeted_ || kind.value() == HelloMessage::kKind)) {
      (this->*known.take)(aFrame);
      return;
    }
  }
  ++unknownFrames_;
}

void ControldLink::OnHello(const nlohmann::json& aFrame)
{
  const auto hello = DecodeMessage<HelloMessage>(aFrame);
  if (!hello) {
    Refuse(hello.error());
    return;
  }
  if (hello.value().deployment != hello_.deployment ||
      hello.value().role != WireRole::kControl) {
    Refuse({ ErrorKind::kRefused,
             "the peer is not the controld of deployment \"" +
               hello_.deployment + "\"",
             "correct controld or deployment in the settings" });
    return;
  }
  if (!std::exchange(greeted_, true)) {
    Log(LogLevel::kInfo,
        "controld-connected",
        { { "host", hello.value().host.value() } });
    events_.OnConnected();
  }
}

template<class Message>
void ControldLink::Deliver(const nlohmann::json& aFrame,
                           void (ControldEvents::*aEvent)(const Message&))
{
  const auto message = DecodeMessage<Message>(aFrame);
  if (message) {
    (events_.*aEvent)(message.value());
  } else {
    Refuse(message.error());
  }
}

void ControldLink::OnConfig(const nlohmann::json& aFrame)
{
  Deliver(aFrame, &ControldEvents::OnConfig);
}

void ControldLink::OnTargetState(const nlohmann::json& aFrame)
{
  Deliver(aFrame, &ControldEvents::OnTargetState);
}

void ControldLink::OnGrant(const nlohmann::json& aFrame)
{
  Deliver(aFrame, &ControldEvents::OnGrant);
}

void ControldLink::Refuse(const Error& aError)
{
  ++badFrames_;
  Log(LogLevel::kWarning, "bad-frame", { { "error", aError.ToString() } });
}

} // namespace lacewing
