#ifndef WIRE_LEASESTATEENTRY_H
#define WIRE_LEASESTATEENTRY_H

#include "lacewing/Epoch.h"
#include "lacewing/HostId.h"
#include "lacewing/ShardId.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/** Who holds the lease on one shard. */
struct LeaseStateEntry
{
  ShardId shard;
  /** Empty when the lease was released. */
  HostId holder;
  /** Epoch of the lease; the higher one wins. */
  Epoch epoch;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "shard", &LeaseStateEntry::shard },
                           WireMember{ "holder", &LeaseStateEntry::holder },
                           WireMember{ "epoch", &LeaseStateEntry::epoch });
  }
};

} // namespace lacewing

#endif // WIRE_LEASESTATEENTRY_H
