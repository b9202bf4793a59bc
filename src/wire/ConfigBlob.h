#ifndef WIRE_CONFIGBLOB_H
#define WIRE_CONFIGBLOB_H

#include "wire/WireBytes.h"
#include "wire/WireMember.h"

#include <string>
#include <tuple>

namespace lacewing {

/** One object of the configuration with its content. */
struct ConfigBlob
{
  /** As in ConfigEntry. */
  std::string name;
  /** The bytes of the stored object, unchanged. */
  WireBytes bytes;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "name", &ConfigBlob::name },
                           WireMember{ "bytes", &ConfigBlob::bytes });
  }
};

} // namespace lacewing

#endif // WIRE_CONFIGBLOB_H
