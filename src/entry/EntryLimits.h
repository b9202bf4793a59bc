#ifndef ENTRY_ENTRYLIMITS_H
#define ENTRY_ENTRYLIMITS_H

#include "lacewing/ByteCount.h"

namespace lacewing {

/** Bounds on what one entryd holds for its callers. */
struct EntryLimits
{
  /** A larger request body is refused with 413. */
  ByteCount maxBody{ 16U << 20U };
  /** A larger answer ends as answer-too-large. The largest answers are
   * 8 MiB; the rest is reserve. */
  ByteCount maxAnswer{ (8U << 20U) + (64U << 10U) };
  /** Bodies, which are held twice, and answers, over all workers. */
  ByteCount maxBuffered{ 256U << 20U };
  /** Set aside for the answer of a request when it is admitted. */
  ByteCount answerReserve{ 16U << 10U };
};

} // namespace lacewing

#endif // ENTRY_ENTRYLIMITS_H
