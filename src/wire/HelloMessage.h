#ifndef WIRE_HELLOMESSAGE_H
#define WIRE_HELLOMESSAGE_H

#include "lacewing/ConfigVersion.h"
#include "lacewing/HostId.h"
#include "lacewing/Incarnation.h"
#include "lacewing/ZoneId.h"
#include "wire/WireMember.h"
#include "wire/WireRole.h"

#include <string>
#include <tuple>

namespace lacewing {

/** First message of each side of a connection. */
struct HelloMessage
{
  static constexpr const char* kKind = "hello";

  WireRole role = WireRole::kEntry;
  /** A peer of another deployment is refused. */
  std::string deployment;
  HostId host;
  ZoneId zone;
  /** Where peers reach the sender, without a port; empty for entryd. */
  std::string address;
  Incarnation incarnation;
  /** Version of the configuration in force at the sender. */
  ConfigVersion version;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "role", &HelloMessage::role },
      WireMember{ "deployment", &HelloMessage::deployment },
      WireMember{ "host", &HelloMessage::host },
      WireMember{ "zone", &HelloMessage::zone },
      WireMember{ "address", &HelloMessage::address },
      WireMember{ "incarnation", &HelloMessage::incarnation },
      WireMember{ "version", &HelloMessage::version });
  }
};

} // namespace lacewing

#endif // WIRE_HELLOMESSAGE_H
