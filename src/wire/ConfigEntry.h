#ifndef WIRE_CONFIGENTRY_H
#define WIRE_CONFIGENTRY_H

#include "wire/WireMember.h"

#include <string>
#include <tuple>

namespace lacewing {

/** Name and content hash of one object of the configuration. */
struct ConfigEntry
{
  /** "service/<id>", "zones" or "hosts". */
  std::string name;
  /** ContentHash of the object's bytes. */
  std::string hash;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "name", &ConfigEntry::name },
                           WireMember{ "hash", &ConfigEntry::hash });
  }
};

} // namespace lacewing

#endif // WIRE_CONFIGENTRY_H
