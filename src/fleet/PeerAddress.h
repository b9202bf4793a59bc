#ifndef FLEET_PEERADDRESS_H
#define FLEET_PEERADDRESS_H

#include "lacewing/Endpoint.h"
#include "lacewing/HostId.h"
#include "lacewing/ZoneId.h"
#include "wire/WireMember.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace lacewing {

/** The address on which a host receives datagrams and serves catalog pulls. */
struct PeerAddress
{
  HostId host;
  ZoneId zone;
  std::string address;
  std::uint32_t port = 0;

  Endpoint ToEndpoint() const
  {
    return { address, static_cast<std::uint16_t>(port) };
  }

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "h", &PeerAddress::host },
                           WireMember{ "z", &PeerAddress::zone },
                           WireMember{ "a", &PeerAddress::address },
                           WireMember{ "p", &PeerAddress::port });
  }
};

} // namespace lacewing

#endif // FLEET_PEERADDRESS_H
