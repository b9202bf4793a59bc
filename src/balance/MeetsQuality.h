#ifndef BALANCE_MEETSQUALITY_H
#define BALANCE_MEETSQUALITY_H

#include "balance/Choice.h"
#include "balance/ReadingState.h"
#include "balance/TargetQuality.h"
#include "lacewing/SlotCount.h"

namespace lacewing {

/** Whether a target with that state, judged as aChoice, meets aDemand. */
bool MeetsQuality(TargetQuality aDemand,
                  ReadingState aState,
                  const Choice& aChoice,
                  SlotCount aSlots);

} // namespace lacewing

#endif // BALANCE_MEETSQUALITY_H
