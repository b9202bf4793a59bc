#ifndef STANDIN_LINKSTATE_H
#define STANDIN_LINKSTATE_H

#include "standin/LinkFaults.h"

#include <cstdint>

namespace lacewing {

/** Faults of a direction in force, shared by its links. */
struct LinkState
{
  LinkFaults faults;
  /** Grows with each change, so that links count truncation anew. */
  std::uint64_t changes = 0;
  /** Bytes carried since the start. */
  ByteCount carried;
};

} // namespace lacewing

#endif // STANDIN_LINKSTATE_H
