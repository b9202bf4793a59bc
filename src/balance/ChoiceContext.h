#ifndef BALANCE_CHOICECONTEXT_H
#define BALANCE_CHOICECONTEXT_H

#include "balance/TargetQuality.h"
#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"
#include "lacewing/ZoneId.h"

namespace lacewing {

/** The request for which a target is chosen. */
struct ChoiceContext
{
  TimePoint now;
  /** How long an idle target usually takes to process the request. */
  Duration usualServiceTime = std::chrono::milliseconds(200);
  /** The minimum quality that is accepted when no target is kGood. */
  TargetQuality minQuality = TargetQuality::kAny;
  /** Size of the request plus the expected response. */
  ByteCount bytes;
  /** The zone whose targets are tried first; empty for none. */
  ZoneId firstZone;
};

} // namespace lacewing

#endif // BALANCE_CHOICECONTEXT_H
