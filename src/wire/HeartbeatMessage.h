#ifndef WIRE_HEARTBEATMESSAGE_H
#define WIRE_HEARTBEATMESSAGE_H

#include "lacewing/ConfigVersion.h"
#include "lacewing/Incarnation.h"
#include "wire/MembersDigest.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/** Sent between controlds each 500 ms and when a version comes into force. */
struct HeartbeatMessage
{
  static constexpr const char* kKind = "heartbeat";

  /** Version of the configuration in force at the sender. */
  ConfigVersion version;
  Incarnation incarnation;
  MembersDigest digest;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "version", &HeartbeatMessage::version },
      WireMember{ "incarnation", &HeartbeatMessage::incarnation },
      WireMember{ "digest", &HeartbeatMessage::digest });
  }
};

} // namespace lacewing

#endif // WIRE_HEARTBEATMESSAGE_H
