#ifndef DECISION_GRANTWANT_H
#define DECISION_GRANTWANT_H

#include "decision/GrantAsker.h"
#include "lacewing/Clock.h"
#include "lacewing/Epoch.h"
#include "lacewing/SlotCount.h"
#include "lacewing/TargetId.h"

namespace lacewing {

/** Content of a grant_want message: the slots that the asker can use now. */
struct GrantWant
{
  GrantAsker asker;
  TargetId target;
  Epoch epoch;
  SlotCount slots;
  /** When it was sent, on the asker's clock; echoed in the grant. */
  TimePoint sent;
};

} // namespace lacewing

#endif // DECISION_GRANTWANT_H
