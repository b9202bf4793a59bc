#ifndef WIRE_LEASESTATEMESSAGE_H
#define WIRE_LEASESTATEMESSAGE_H

#include "wire/LeaseStateEntry.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** Lease holders, so that grant requests find them. */
struct LeaseStateMessage
{
  static constexpr const char* kKind = "lease_state";

  std::vector<LeaseStateEntry> leases;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "leases", &LeaseStateMessage::leases });
  }
};

} // namespace lacewing

#endif // WIRE_LEASESTATEMESSAGE_H
