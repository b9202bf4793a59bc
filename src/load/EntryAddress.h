#ifndef LOAD_ENTRYADDRESS_H
#define LOAD_ENTRYADDRESS_H

#include "core/JsonProperty.h"
#include "lacewing/Endpoint.h"
#include "lacewing/ZoneId.h"

#include <array>

namespace lacewing {

/** An entry host that takes requests. */
struct EntryAddress
{
  Endpoint endpoint;
  ZoneId zone;
  /**
   * Where GET /ready says whether the host takes new requests, as the
   * platform's balancer asks it; port zero for a host that always does.
   */
  Endpoint ready;
};

inline constexpr std::array<JsonProperty<EntryAddress>, 3> kEntryProperties{ {
  { "address", &EntryAddress::endpoint },
  { "zone", &EntryAddress::zone },
  { "ready", &EntryAddress::ready },
} };

} // namespace lacewing

#endif // LOAD_ENTRYADDRESS_H
