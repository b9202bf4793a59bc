#ifndef ENTRY_TARGETGRANT_H
#define ENTRY_TARGETGRANT_H

#include "decision/GrantId.h"
#include "entry/GrantShare.h"
#include "lacewing/Clock.h"
#include "lacewing/Epoch.h"

#include <vector>

namespace lacewing {

/** The grant of one target that this host holds, and its split. */
struct TargetGrant
{
  /** Zero while none is held. */
  GrantId id;
  /** The lease holder was told that it is not used any more. */
  bool returned = false;
  Epoch epoch;
  SlotCount slots;
  /** No send at or after this, on the own clock, margin included. */
  TimePoint expiry;
  /** The last time that a worker wanted or used a slot. */
  TimePoint lastUse;
  /** One for each worker. */
  std::vector<GrantShare> shares;
  /** The worker that is served first when slots are short. */
  std::size_t first = 0;
};

} // namespace lacewing

#endif // ENTRY_TARGETGRANT_H
