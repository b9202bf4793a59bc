#ifndef WIRE_CONFIGWANTMESSAGE_H
#define WIRE_CONFIGWANTMESSAGE_H

#include "lacewing/ConfigVersion.h"
#include "wire/ConfigEntry.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** Asks for the configuration: what the sender holds already. */
struct ConfigWantMessage
{
  static constexpr const char* kKind = "config_want";

  ConfigVersion version;
  std::vector<ConfigEntry> held;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "version", &ConfigWantMessage::version },
                           WireMember{ "held", &ConfigWantMessage::held });
  }
};

} // namespace lacewing

#endif // WIRE_CONFIGWANTMESSAGE_H
