#ifndef CONTROL_PEERCOUNTS_H
#define CONTROL_PEERCOUNTS_H

#include "lacewing/ByteCount.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing {

/** Messages exchanged with other processes since the start. */
struct PeerCounts
{
  struct Sent
  {
    std::uint64_t messages = 0;
    ByteCount bytes;
  };

  std::map<std::string, Sent> sent;
  /** Known kinds only, so that a peer cannot make this map grow. */
  std::map<std::string, std::uint64_t> received;
  std::uint64_t unknownKinds = 0;
  /** Frames that are no message of version 1. */
  std::uint64_t malformed = 0;
  /** Hellos of other deployments and first frames that are no hello. */
  std::uint64_t refused = 0;
};

} // namespace lacewing

#endif // CONTROL_PEERCOUNTS_H
