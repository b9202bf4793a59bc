#ifndef ENTRY_GRANTSHARE_H
#define ENTRY_GRANTSHARE_H

#include "entry/GrantRound.h"
#include "lacewing/SlotCount.h"

namespace lacewing {

/** What one worker has and wants of one target's grant. */
struct GrantShare
{
  /** Slots that the worker may use from now on. */
  SlotCount assigned;
  /**
   * Slots that it may still use: more than assigned until it has confirmed a
   * smaller assignment and its requests beyond that have ended.
   */
  SlotCount ceiling;
  /** The round that carried the last assignment. */
  GrantRound round;
  SlotCount inFlight;
  /** Requests that wait. */
  SlotCount wanted;
};

} // namespace lacewing

#endif // ENTRY_GRANTSHARE_H
