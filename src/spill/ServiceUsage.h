#ifndef SPILL_SERVICEUSAGE_H
#define SPILL_SERVICEUSAGE_H

#include "lacewing/ByteCount.h"
#include "lacewing/ZoneId.h"

#include <cstdint>
#include <map>

namespace lacewing {

/** Totals of the draws for one service since the start of this host. */
struct ServiceUsage
{
  std::uint64_t requests = 0;
  /** Sizes of these requests with their usual responses. */
  ByteCount bytes;
  /** Requests drawn to be sent out, by zone. */
  std::map<ZoneId, std::uint64_t> drawn;
};

} // namespace lacewing

#endif // SPILL_SERVICEUSAGE_H
