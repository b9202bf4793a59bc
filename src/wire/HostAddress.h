#ifndef WIRE_HOSTADDRESS_H
#define WIRE_HOSTADDRESS_H

#include "lacewing/HostId.h"
#include "wire/WireMember.h"

#include <string>
#include <tuple>

namespace lacewing {

/**
 * A host and its network address. Ports are left out because all hosts of a
 * deployment use the same ones.
 */
struct HostAddress
{
  HostId host;
  std::string address;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "h", &HostAddress::host },
                           WireMember{ "a", &HostAddress::address });
  }
};

} // namespace lacewing

#endif // WIRE_HOSTADDRESS_H
