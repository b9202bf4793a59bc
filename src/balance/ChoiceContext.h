#ifndef BALANCE_CHOICECONTEXT_H
#define BALANCE_CHOICECONTEXT_H

#include "balance/TargetQuality.h"
#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"

namespace lacewing {

/** The request for which a target is chosen. */
struct ChoiceContext
{
  TimePoint now;
  /** How long the work usually takes on an idle target. */
  Duration usualServiceTime = std::chrono::milliseconds(200);
  /** What is taken when no target is good. */
  TargetQuality minQuality = TargetQuality::kAny;
  /** Bytes of the request and the expected answer. */
  ByteCount bytes;
};

} // namespace lacewing

#endif // BALANCE_CHOICECONTEXT_H
