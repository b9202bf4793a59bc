#ifndef DECISION_LEASERECORD_H
#define DECISION_LEASERECORD_H

#include "lacewing/Epoch.h"
#include "lacewing/HostId.h"

#include <string>

namespace lacewing {

/** Content of a lease object lease/<shard>. */
struct LeaseRecord
{
  HostId holder;
  /** Grows by one with each change of holder. */
  Epoch epoch;
  /** Unique per write; shows whether a write of unknown effect is in force. */
  std::string token;
  /** The holder gave the lease up; a candidate may take it at once. */
  bool released = false;
};

} // namespace lacewing

#endif // DECISION_LEASERECORD_H
