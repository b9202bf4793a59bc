#ifndef LACEWING_SHARDID_H
#define LACEWING_SHARDID_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** One of the 32 shards of services that leases are on. */
using ShardId = StrongNumber<struct ShardIdTag, std::uint32_t>;

} // namespace lacewing

#endif // LACEWING_SHARDID_H
