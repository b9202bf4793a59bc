#ifndef WIRE_CONFIGMESSAGE_H
#define WIRE_CONFIGMESSAGE_H

#include "lacewing/ConfigVersion.h"
#include "wire/ConfigBlob.h"
#include "wire/ConfigEntry.h"
#include "wire/WireMember.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace lacewing {

/**
 * One part of a configuration. The entries of all parts together name every
 * object of the version; blobs carry those that the receiver does not hold. A
 * blob may come in any part. Parts are numbered from 0 without gaps.
 */
struct ConfigMessage
{
  static constexpr const char* kKind = "config";

  ConfigVersion version;
  std::uint32_t part = 0;
  bool last = false;
  std::vector<ConfigEntry> entries;
  std::vector<ConfigBlob> blobs;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "version", &ConfigMessage::version },
                           WireMember{ "part", &ConfigMessage::part },
                           WireMember{ "last", &ConfigMessage::last },
                           WireMember{ "entries", &ConfigMessage::entries },
                           WireMember{ "blobs", &ConfigMessage::blobs });
  }
};

} // namespace lacewing

#endif // WIRE_CONFIGMESSAGE_H
