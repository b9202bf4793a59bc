#ifndef WIRE_WIREMESSAGE_H
#define WIRE_WIREMESSAGE_H

#include "lacewing/Outcome.h"
#include "wire/WireKind.h"
#include "wire/WireValue.h"

namespace lacewing {

/** The frame of a message: its members, its kind and the version. */
template<class Message>
nlohmann::json EncodeMessage(const Message& aMessage)
{
  nlohmann::json frame = ToWire(aMessage);
  frame["t"] = Message::kKind;
  frame["v"] = kWireVersion;
  return frame;
}

/**
 * Reads a frame whose kind is Message::kKind. Keys that this release does not
 * know are ignored; a missing or bad one fails with kInvalidMessage.
 */
template<class Message>
Outcome<Message> DecodeMessage(const nlohmann::json& aFrame)
{
  Message message;
  if (!FromWire(aFrame, message)) {
    return Fail(ErrorKind::kInvalidMessage,
                std::string("a \"") + Message::kKind +
                  "\" frame lacks a field or has a bad one",
                "run releases of the same protocol version on this host");
  }
  return message;
}

} // namespace lacewing

#endif // WIRE_WIREMESSAGE_H
